package org.hickorytiller.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.placement.Placement
import org.hickorytiller.platform.DutyClient
import org.hickorytiller.routes.PoolSpec
import org.hickorytiller.routes.ScalingSpec
import org.hickorytiller.standins.PlatformDutyStandIn
import java.net.InetSocketAddress

class FleetTaskTest : AnnotationSpec() {
    private val domains = listOf("a", "b", "c", "d").map(::FailureDomain)
    private val pools =
        listOf("x", "y").map {
            PoolSpec(PoolId(it), engine = null, ScalingSpec(1, 7, 4_000, reclaimablePrice = 0.18, domains.associateWith { 1.0 }))
        }

    /**
     * Regression test: a holder whose calls were slow went on ordering after its lease had ended, and after the next
     * holder had ordered (review/2).
     */
    @Test
    fun `no order is sent once the lease does not allow it, and the others follow later`() {
        val loop = EventLoop()
        var nowMs = 0L
        try {
            val duties = PlatformDutyStandIn()
            val server = duties.start(loop.group, loop.scope, InetSocketAddress("127.0.0.1", 0))
            val client = DutyClient(HttpClient(loop.group, HttpLimits()), server.address, HostId("h"))
            val task = FleetTask({ TimeMs(nowMs) }, { pools }, Placement({ TimeMs(nowMs) }), { emptySet() }, client)
            runBlocking {
                withContext(loop.scope.coroutineContext) {
                    task.placeOrders(token = 1) { duties.calls.size < 2 }
                    duties.calls shouldHaveSize 2
                    nowMs += 1_000
                    task.placeOrders(token = 1) { true }
                    duties.calls.map { it.body.path("service").asText() to it.body.path("zone").asText() }.toSet().size shouldBeGreaterThan 4
                }
            }
        } finally {
            loop.close()
        }
    }
}

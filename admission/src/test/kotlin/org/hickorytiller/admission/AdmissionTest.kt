package org.hickorytiller.admission

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.TimeMs

class AdmissionTest : AnnotationSpec() {
    private val top = requestClass("refunds", 0, targetMs = 60_000, timeoutMs = 120_000)
    private val now = TimeMs(0)
    private var free = 0
    private var maxInUse = 0
    private var inUse = 0

    private fun admission() = Admission({ now }, { free }, { 1 })

    private fun ticket(admission: Admission, customer: String) = Ticket(admission.newId(), CustomerId(customer), top, POOL, now, now + 60_000)

    private fun acquire() {
        free--
        inUse++
        maxInUse = maxOf(maxInUse, inUse)
    }

    @BeforeEach
    fun reset() {
        free = 0
        inUse = 0
        maxInUse = 0
    }

    // Guards against a new request that takes the slot between the grant to a waiting request and its start.
    @Test
    fun `a granted slot is reserved until its request starts`() = runBlocking<Unit> {
        val admission = admission()
        val order = mutableListOf<String>()
        val waiting = async { admission.admit(ticket(admission, "a"), { acquire().also { order += "a" } }, {}, {}) }
        yield()
        free = 1
        admission.grantFreeSlots(POOL)
        // The waiting coroutine has not run yet.
        val second = launch { admission.admit(ticket(admission, "b"), { acquire().also { order += "b" } }, {}, {}) }
        yield()
        waiting.await().isRight() shouldBe true
        second.cancel()
        order shouldBe listOf("a")
        maxInUse shouldBe 1
    }

    @Test
    fun `two requests use one slot if a grant does not reserve it`() = runBlocking<Unit> {
        val admission = admission()
        val granted = CompletableDeferred<Unit>()
        admission.request(ticket(admission, "a"), AdmissionCallbacks({ granted.complete(Unit) }, {}, {}))
        val late = launch {
            granted.await()
            acquire()
        }
        yield()
        free = 1
        admission.grantFreeSlots(POOL)
        admission.request(ticket(admission, "b"), AdmissionCallbacks({ acquire().let { true } }, {}, {}))
        late.join()
        maxInUse shouldBe 2
    }

    // Guards against a leaked slot when the request is cancelled between the grant and its start.
    @Test
    fun `a request cancelled after its grant releases the slot`() = runBlocking<Unit> {
        val admission = admission()
        val released = mutableListOf<String>()
        val waiting =
            async { admission.admit(ticket(admission, "a"), { acquire().let { "slot" } }, { released += it }, {}) }
        yield()
        free = 1
        admission.grantFreeSlots(POOL)
        waiting.cancel()
        waiting.join()
        released shouldBe listOf("slot")
        admission.waiting(POOL) shouldBe 0
    }

    // Guards against granting slots to requests whose callers have disconnected.
    @Test
    fun `a request cancelled while it waits is removed from the queue`() = runBlocking<Unit> {
        val admission = admission()
        val waiting = async { admission.admit(ticket(admission, "a"), { acquire() }, {}, {}) }
        yield()
        admission.waiting(POOL) shouldBe 1
        waiting.cancel()
        waiting.join()
        admission.waiting(POOL) shouldBe 0
        free = 1
        admission.grantFreeSlots(POOL)
        inUse shouldBe 0
    }

    // Guards against a granted request that gets no refusal or stays queued when no backend server is available.
    @Test
    fun `a granted request is refused if no backend server is available`() {
        val admission = admission()
        free = 1
        var refused: AdmissionRefusal? = null
        admission.request(ticket(admission, "a"), AdmissionCallbacks({ false }, { refused = it }, {}))
        refused?.reason shouldBe RefusalReason.NO_BACKEND_SERVER
        admission.counters(POOL).getValue(top.id).granted shouldBe 1
        admission.waiting(POOL) shouldBe 0
    }
}

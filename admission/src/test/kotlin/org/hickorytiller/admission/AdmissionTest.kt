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
    private var mostInUse = 0
    private var inUse = 0

    private fun admission() = Admission({ now }, { free }, { 1 })

    private fun ticket(admission: Admission, customer: String) = Ticket(admission.newId(), CustomerId(customer), top, POOL, now, now + 60_000)

    private fun take() {
        free--
        inUse++
        mostInUse = maxOf(mostInUse, inUse)
    }

    @BeforeEach
    fun reset() {
        free = 0
        inUse = 0
        mostInUse = 0
    }

    // Guards against a request that arrives between the grant to a waiting one and its start, and takes the slot.
    @Test
    fun `a granted slot is reserved until its request starts`() = runBlocking<Unit> {
        val admission = admission()
        val order = mutableListOf<String>()
        val waiting = async { admission.admit(ticket(admission, "a"), { take().also { order += "a" } }, {}, {}) }
        yield()
        free = 1
        admission.grantFreeSlots(POOL)
        // The waiting coroutine has not run yet.
        val second = launch { admission.admit(ticket(admission, "b"), { take().also { order += "b" } }, {}, {}) }
        yield()
        waiting.await().isRight() shouldBe true
        second.cancel()
        order shouldBe listOf("a")
        mostInUse shouldBe 1
    }

    @Test
    fun `a grant that does not reserve the slot lets two requests use it`() = runBlocking<Unit> {
        val admission = admission()
        val granted = CompletableDeferred<Unit>()
        admission.request(ticket(admission, "a"), AdmissionCallbacks({ granted.complete(Unit) }, {}, {}))
        val late = launch {
            granted.await()
            take()
        }
        yield()
        free = 1
        admission.grantFreeSlots(POOL)
        admission.request(ticket(admission, "b"), AdmissionCallbacks({ take().let { true } }, {}, {}))
        late.join()
        mostInUse shouldBe 2
    }

    // Guards against a slot that is lost because its request was cancelled between the grant and its start.
    @Test
    fun `a cancelled request gives back the slot it was granted`() = runBlocking<Unit> {
        val admission = admission()
        val undone = mutableListOf<String>()
        val waiting = async { admission.admit(ticket(admission, "a"), { take().let { "slot" } }, { undone += it }, {}) }
        yield()
        free = 1
        admission.grantFreeSlots(POOL)
        waiting.cancel()
        waiting.join()
        undone shouldBe listOf("slot")
        admission.waiting(POOL) shouldBe 0
    }

    // Guards against requests of callers that left, which would be granted slots that nobody uses.
    @Test
    fun `a request cancelled while it waits is forgotten`() = runBlocking<Unit> {
        val admission = admission()
        val waiting = async { admission.admit(ticket(admission, "a"), { take() }, {}, {}) }
        yield()
        admission.waiting(POOL) shouldBe 1
        waiting.cancel()
        waiting.join()
        admission.waiting(POOL) shouldBe 0
        free = 1
        admission.grantFreeSlots(POOL)
        inUse shouldBe 0
    }

    // Guards against a service time learnt from grants that never ran, which would make refusals untrue.
    @Test
    fun `a grant without a backend server is refused and frees nothing`() {
        val admission = admission()
        free = 1
        var refused: AdmissionRefusal? = null
        admission.request(ticket(admission, "a"), AdmissionCallbacks({ false }, { refused = it }, {}))
        refused?.reason shouldBe RefusalReason.NO_BACKEND_SERVER
        admission.counters(POOL).getValue(top.id).granted shouldBe 1
        admission.waiting(POOL) shouldBe 0
    }
}

package org.hickorytiller.orders

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.RecordFault
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.decodeRecord
import org.hickorytiller.core.json

class OrderLedgerTest : AnnotationSpec() {
    private fun intent(id: String) = OrderIntent(id, "zone-a", 4, OrderAction.START, 1, "chat", reclaimable = true)

    @Test
    fun `settled intent stays settled after a second outcome`() {
        val ledger = OrderLedger()
        listOf(
            intent("1"),
            OrderOutcome("1", OrderResult.PLACED),
            OrderOutcome("1", OrderResult.NOT_PLACED),
            OrderOutcome("unknown", OrderResult.PLACED),
            intent("2"),
        ).forEachIndexed { index, record -> ledger.apply(record, LogOffset(index.toLong()), TimeMs(0)) }
        ledger.openIntents().map { it.intent.orderId } shouldBe listOf("2")
        ledger.lastSettled().map { it.outcome?.result } shouldBe listOf(OrderResult.PLACED)
    }

    @Test
    fun `rejected offer is unavailable for the hold time`() {
        val ledger = OrderLedger()
        val offer = Offer(FailureDomain("zone-a"), reclaimable = true)
        ledger.apply(intent("1"), LogOffset(0), TimeMs(0))
        ledger.apply(OrderOutcome("1", OrderResult.NO_OFFER), LogOffset(1), TimeMs(100))
        ledger.unavailableOffers(TimeMs(60_099), 60_000) shouldBe setOf(offer)
        ledger.unavailableOffers(TimeMs(60_100), 60_000) shouldBe emptySet()
    }

    @Test
    fun `reports unknown schemas and malformed records as faults`() {
        fun decode(text: String) = decodeRecord(text.toByteArray(), OrderRecord::class.java, ORDER_SCHEMA)
        decode(json.writeValueAsString(intent("1"))).getOrNull() shouldBe intent("1")
        decode("""{"type":"OrderIntent","schema":2}""").leftOrNull() shouldBe RecordFault.UnknownSchema("OrderIntent", 2)
        decode("""{"type":"OrderMerged","schema":1}""").leftOrNull() shouldBe RecordFault.UnknownSchema("OrderMerged", 1)
        listOf("", "[]", "{", "{}", """{"type":"OrderOutcome","orderId":"1","result":"maybe"}""", "null").forEach {
            (decode(it).leftOrNull() is RecordFault.Malformed) shouldBe true
        }
    }
}

/** The orders of all failure domains as this process has read them; one reader serves all duties. */
package org.hickorytiller.controller

import org.hickorytiller.core.Clock
import org.hickorytiller.orders.ORDER_SCHEMA
import org.hickorytiller.orders.ORDER_STREAM
import org.hickorytiller.orders.OrderLedger
import org.hickorytiller.orders.OrderRecord
import org.hickorytiller.platform.ReadLog

/** The ledger and its reader. Confined to the event loop. */
internal class OrderStream(read: ReadLog, clock: Clock) {
    val ledger = OrderLedger()
    val follower =
        RecordFollower(
            RecordFormat(ORDER_STREAM, OrderRecord::class.java, ORDER_SCHEMA),
            read,
            ledger::skip,
        ) { record, offset -> ledger.apply(record, offset, clock()) }
}

/** The orders of all failure domains, read from the log by one reader for all duties of the process. */
package org.hickorytiller.controller

import org.hickorytiller.core.Clock
import org.hickorytiller.orders.ORDER_SCHEMA
import org.hickorytiller.orders.ORDER_STREAM
import org.hickorytiller.orders.OrderLedger
import org.hickorytiller.orders.OrderRecord
import org.hickorytiller.platform.ReadLog

/** The order ledger and the follower that updates it. Confined to the event loop. */
internal class OrderStream(read: ReadLog, clock: Clock) {
    val ledger = OrderLedger()
    val follower =
        RecordFollower(
            RecordFormat(ORDER_STREAM, OrderRecord::class.java, ORDER_SCHEMA),
            read,
            ledger::skip,
        ) { record, offset -> ledger.apply(record, offset, clock()) }
}

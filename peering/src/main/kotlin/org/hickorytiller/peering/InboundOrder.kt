/** Checks the order of the messages of one stream: replayed, reordered and outdated ones are ignored. */
package org.hickorytiller.peering

/** Judgement on a message. */
internal enum class Arrival(val reason: String) {
    ACCEPTED("accepted"),

    /** Accepted, but at least one message before it is missing; the full comparison heals that. */
    AFTER_GAP("after_gap"),
    REPLAYED("replayed"),
    OUTDATED_INCARNATION("outdated_incarnation"),
    ;

    val isAccepted: Boolean get() = this == ACCEPTED || this == AFTER_GAP
}

/** The last message accepted on one stream. */
internal class InboundOrder {
    private var sequence = 0L
    private var incarnation = 0L

    /** Judges the next message. The incarnation may rise within a stream, but never fall. */
    fun judge(message: PeerMessage): Arrival {
        if (message.incarnation < incarnation) return Arrival.OUTDATED_INCARNATION
        if (message.sequence <= sequence) return Arrival.REPLAYED
        val next = message.sequence == sequence + 1
        sequence = message.sequence
        incarnation = message.incarnation
        return if (next) Arrival.ACCEPTED else Arrival.AFTER_GAP
    }
}

/** Checks the order of the messages of one stream: replayed, reordered and outdated ones are ignored. */
package org.hickorytiller.peering

/** Result of the sequence check of a message. */
internal enum class ReceiveStatus(val reason: String) {
    ACCEPTED("accepted"),

    /** Accepted, but at least one earlier message is missing. Comparing table digests recovers lost member records. */
    AFTER_GAP("after_gap"),
    REPLAYED("replayed"),
    OUTDATED_INCARNATION("outdated_incarnation"),
    ;

    val isAccepted: Boolean get() = this == ACCEPTED || this == AFTER_GAP
}

/** The last message accepted on one stream. */
internal class SequenceChecker {
    private var sequence = 0L
    private var incarnation = 0L

    /** Checks the next message. The incarnation may increase within a stream, but never decrease. */
    fun check(message: PeerMessage): ReceiveStatus {
        if (message.incarnation < incarnation) return ReceiveStatus.OUTDATED_INCARNATION
        if (message.sequence <= sequence) return ReceiveStatus.REPLAYED
        val isNext = message.sequence == sequence + 1
        sequence = message.sequence
        incarnation = message.incarnation
        return if (isNext) ReceiveStatus.ACCEPTED else ReceiveStatus.AFTER_GAP
    }
}

/** The times and sizes of the membership protocol. */
package org.hickorytiller.membership

/**
 * @property silenceMs time without a message after which a neighbour is suspected
 * @property reissueMs time after which a standing suspicion is sent again, so that a lost one heals
 * @property suspicionLifetimeMs time after which a suspicion that was not sent again is forgotten
 * @property isolationMs time of silence after which a neighbour no longer counts as a second witness; without it, the
 *   one survivor of three hosts would wait for ever for a second witness
 * @property pauseMs gap between two ticks that shows that this process stood still, not its neighbours
 * @property compareIntervalMs time between two full comparisons on a link
 * @property settleMs time without a change before a periodic difference counts, since news may be under way
 * @property removalMs time after which a dead member is forgotten; longer than the hour for which regions may lose
 *   each other
 * @property youthMs time after the start during which a process claims its name from a run with a later incarnation,
 *   which the clock of a replaced host can leave behind
 * @property outgoingLinks neighbours that a router chooses
 * @property controllerLinks routers that a controller connects to; controllers relay nothing
 * @property probeIntervalMs time for which one address that no live member has is tried before the next one
 * @property firstContacts addresses that are tried at once while no other router is known
 */
data class MembershipLimits(
    val silenceMs: Long = 2_000,
    val reissueMs: Long = 4_000,
    val suspicionLifetimeMs: Long = 10_000,
    val isolationMs: Long = 10_000,
    val pauseMs: Long = 1_000,
    val compareIntervalMs: Long = 10_000,
    val settleMs: Long = 2_000,
    val removalMs: Long = 7_200_000,
    val youthMs: Long = 30_000,
    val outgoingLinks: Int = 8,
    val controllerLinks: Int = 2,
    val probeIntervalMs: Long = 5_000,
    val firstContacts: Int = 3,
) {
    companion object {
        /** Records in one message: 200 × about 100 bytes stay far below the limit of a message. */
        const val RECORDS_PER_MESSAGE = 200
    }
}

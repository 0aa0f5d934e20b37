/** Time-outs, intervals and sizes of the membership protocol. */
package org.hickorytiller.membership

/**
 * @property heartbeatTimeoutMs time without a message after which a neighbour is suspected
 * @property suspicionRefreshIntervalMs time after which an active suspicion is sent again, in case a message was lost
 * @property suspicionLifetimeMs time after which a suspicion that was not refreshed expires
 * @property observerTimeoutMs time of suspicion after which a neighbour is no longer expected to confirm another
 *   suspicion; without it, the one survivor of three hosts would wait permanently for a second observer
 * @property localPauseThresholdMs gap between two ticks above which this process, not its neighbours, was paused
 * @property digestIntervalMs time between two table digests on a link
 * @property digestSettleMs time without a change before different table digests start a comparison of the records,
 *   since updates may still be in transit
 * @property deadMemberRetentionMs time after which a dead member is removed; longer than the hour for which regions may
 *   be partitioned
 * @property startupGraceMs time after process start during which a record of this identity with a later incarnation is
 *   overridden; such a record can remain from an earlier run on a replaced host whose clock was ahead
 * @property outboundLinks number of neighbours that a router connects to
 * @property controllerLinks number of routers that a controller connects to; controllers relay nothing
 * @property probeIntervalMs time for which an address is probed before the next one; only addresses that belong to no
 *   live member are probed
 * @property initialProbes number of addresses that are probed at once while no other router is known
 */
data class MembershipLimits(
    val heartbeatTimeoutMs: Long = 2_000,
    val suspicionRefreshIntervalMs: Long = 4_000,
    val suspicionLifetimeMs: Long = 10_000,
    val observerTimeoutMs: Long = 10_000,
    val localPauseThresholdMs: Long = 1_000,
    val digestIntervalMs: Long = 10_000,
    val digestSettleMs: Long = 2_000,
    val deadMemberRetentionMs: Long = 7_200_000,
    val startupGraceMs: Long = 30_000,
    val outboundLinks: Int = 8,
    val controllerLinks: Int = 2,
    val probeIntervalMs: Long = 5_000,
    val initialProbes: Int = 3,
) {
    companion object {
        /** Maximum number of records in one message: 200 × about 100 bytes are far below the message size limit. */
        const val RECORDS_PER_MESSAGE = 200
    }
}

/** Records about the members of the deployment that processes exchange. */
package org.hickorytiller.peering

import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.ProcessId

/** Role of a member. Every host runs one process of each role. */
enum class MemberRole(val code: String) {
    ROUTER("router"),
    CONTROLLER("controller"),
}

/** Identity of a member. It stays the same after a restart; process runs of one member differ in their incarnation. */
data class MemberId(val host: HostId, val role: MemberRole) {
    override fun toString() = "$host/${role.code}"
}

/** State of a member. Later states take precedence over earlier ones of the same incarnation. */
enum class MemberState { ALIVE, LEAVING, DEAD }

/**
 * A record about a member.
 *
 * @property incarnation process start in milliseconds since 1970; incremented by the member itself to refute a
 *   report of its death
 * @property version incremented by the member with each change of its record
 * @property peerAddress address on which it listens for peers; empty if it does not
 * @property callerAddress address on which it listens for callers; empty if it does not
 */
data class MemberRecord(
    val id: MemberId,
    val process: ProcessId,
    val failureDomain: FailureDomain,
    val incarnation: Long,
    val version: Long,
    val state: MemberState,
    val peerAddress: String = "",
    val callerAddress: String = "",
    val adminAddress: String = "",
)

/**
 * A report of [observer] that it no longer receives messages from [target] or, if not [active], that it does so again.
 * Of the reports of one observer about one target, the one with the highest [version] is valid.
 */
data class Suspicion(
    val target: MemberId,
    val incarnation: Long,
    val observer: MemberId,
    val version: Long,
    val active: Boolean,
)

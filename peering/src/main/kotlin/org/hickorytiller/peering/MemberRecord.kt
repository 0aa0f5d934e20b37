/** What processes tell each other about the members of the deployment. */
package org.hickorytiller.peering

import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.ProcessId

/** What a member does. Every host runs one process of each role. */
enum class MemberRole(val code: String) {
    ROUTER("router"),
    CONTROLLER("controller"),
}

/** Identity of a member, which survives a restart; the runs of one member differ in their incarnation. */
data class MemberId(val host: HostId, val role: MemberRole) {
    override fun toString() = "$host/${role.code}"
}

/** State of a member. Later states take precedence over earlier ones of the same incarnation. */
enum class MemberState { ALIVE, LEAVING, DEAD }

/**
 * What is known of a member.
 *
 * @property incarnation start of the run in milliseconds since 1970, raised by the member itself when it has to
 *   contradict news of its death
 * @property version raised by the member with each change of its record
 * @property peerAddress where it listens for peers; empty if it does not
 * @property callerAddress where callers connect; empty if it serves none
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
 * The claim of [observer] that it no longer hears [target], or if not [active] that it hears it again. Of the claims
 * of one observer about one target, the one with the highest [version] counts.
 */
data class Suspicion(
    val target: MemberId,
    val incarnation: Long,
    val observer: MemberId,
    val version: Long,
    val active: Boolean,
)

/** The answer to a caller that asks which address to use. */
package org.hickorytiller.membership

import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId

/** State of a member. */
enum class MemberState { ALIVE, LEAVING, DEAD }

/** A member as other processes see it. [loadPermille] is the share of its capacity in use. */
data class Member(
    val host: HostId,
    val failureDomain: FailureDomain,
    val callerAddress: String,
    val state: MemberState,
    val loadPermille: Int,
)

/**
 * @property addresses addresses to use, best first
 * @property lifetimeMs time for which a caller may keep the answer
 */
data class AddressAnswer(val addresses: List<String>, val lifetimeMs: Long)

/**
 * Answers a caller in [failureDomain]: hosts of its failure domain first, then by load. Leaving hosts are never named.
 */
fun answerAddresses(members: Collection<Member>, failureDomain: FailureDomain?, lifetimeMs: Long): AddressAnswer {
    val usable = members.filter { it.state == MemberState.ALIVE }
    val ordered =
        usable.sortedWith(compareBy({ it.failureDomain != failureDomain }, { it.loadPermille }, { it.host.value }))
    return AddressAnswer(ordered.map { it.callerAddress }, lifetimeMs)
}

/** The answer to a caller that asks which address to use. */
package org.hickorytiller.membership

import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.MemberState

/**
 * @property addresses addresses to use, best first
 * @property lifetimeMs time for which a caller may keep the answer
 */
data class AddressResponse(val addresses: List<String>, val lifetimeMs: Long)

/** The load of a host in permille of its capacity; null if this process does not know it. */
typealias LoadOf = (HostId) -> Int?

/**
 * Answers a caller in [failureDomain]: hosts of its failure domain first, then by load in steps of a tenth, then spread
 * by [turn], so that the callers of one moment do not all get the same host. Only hosts that are alive are named; a
 * load that is unknown counts as the mean of the known ones.
 */
fun findAddresses(
    members: Collection<MemberRecord>,
    failureDomain: FailureDomain?,
    loadOf: LoadOf,
    lifetimeMs: Long,
    turn: Long,
): AddressResponse {
    val usable = members.filter { it.state == MemberState.ALIVE && it.callerAddress.isNotEmpty() }
    val known = usable.mapNotNull { loadOf(it.id.host) }
    val mean = if (known.isEmpty()) 0 else known.sum() / known.size
    val ordered =
        usable.sortedWith(
            compareBy(
                { it.failureDomain != failureDomain },
                { (loadOf(it.id.host) ?: mean) / LOAD_STEP_PERMILLE },
                { mix(idHash(it.id) + turn) },
            ),
        )
    return AddressResponse(ordered.take(MAX_ADDRESSES).map { it.callerAddress }, lifetimeMs)
}

private const val LOAD_STEP_PERMILLE = 100

/** More addresses than a caller tries in turn would only make the answer long. */
private const val MAX_ADDRESSES = 8

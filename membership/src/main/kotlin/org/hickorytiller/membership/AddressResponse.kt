/** The response to a caller that requests the addresses of routers. */
package org.hickorytiller.membership

import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.MemberState

/**
 * @property addresses addresses to use, best first
 * @property lifetimeMs time for which a caller may use the response
 */
data class AddressResponse(val addresses: List<String>, val lifetimeMs: Long)

/** Returns the load of a host in permille of its capacity, or null if this process does not know it. */
typealias LoadOf = (HostId) -> Int?

/**
 * Returns the response to a caller in [failureDomain]: hosts of its failure domain first, then by load in steps of a
 * tenth, then in an order that depends on [shuffleSeed], so that simultaneous callers do not all receive the same
 * host first. Only hosts in state ALIVE are included. An unknown load is assumed to be the mean of the known ones.
 */
fun findAddresses(
    members: Collection<MemberRecord>,
    failureDomain: FailureDomain?,
    loadOf: LoadOf,
    lifetimeMs: Long,
    shuffleSeed: Long,
): AddressResponse {
    val usable = members.filter { it.state == MemberState.ALIVE && it.callerAddress.isNotEmpty() }
    val knownLoads = usable.mapNotNull { loadOf(it.id.host) }
    val meanLoad = if (knownLoads.isEmpty()) 0 else knownLoads.sum() / knownLoads.size
    val ordered =
        usable.sortedWith(
            compareBy(
                { it.failureDomain != failureDomain },
                { (loadOf(it.id.host) ?: meanLoad) / LOAD_STEP_PERMILLE },
                { mix(idHash(it.id) + shuffleSeed) },
            ),
        )
    return AddressResponse(ordered.take(MAX_ADDRESSES).map { it.callerAddress }, lifetimeMs)
}

private const val LOAD_STEP_PERMILLE = 100

/** A caller does not try more addresses than this, so more would only make the response longer. */
private const val MAX_ADDRESSES = 8

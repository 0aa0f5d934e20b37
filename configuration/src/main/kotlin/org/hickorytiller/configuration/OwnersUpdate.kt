/**
 * The customer of each key in the customers section, kept up to date for the changed customers only: a rebuild at
 * 24,000 customers would stall the event loop of a router with every change.
 */
package org.hickorytiller.configuration

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.keys.parseKeyHash

/** Owners after a change, and the faults of the changed customers. */
internal class OwnersUpdate(val owners: Map<KeyHash, CustomerId>, val faults: List<SettingsFault>)

/**
 * The owners after the customers [changed] went from [before] to [after]. A key that another customer has, in the
 * section or by one of [grants], is a fault.
 */
internal fun updateOwners(
    owners: Map<KeyHash, CustomerId>,
    before: Map<CustomerId, CustomerEntry>,
    after: Map<CustomerId, CustomerEntry>,
    changed: Collection<CustomerId>,
    grants: Map<KeyHash, KeyGrant> = emptyMap(),
): OwnersUpdate {
    val updated = HashMap(owners)
    val faults = mutableListOf<SettingsFault>()
    changed.forEach { id -> before[id]?.keys?.forEach { updated -= it } }
    faults.addNameFaults(Section.CUSTOMERS, changed.filter { it in after }.map { it.value })
    changed.mapNotNull { after[it] }.forEach { customer ->
        val name = "customers.${customer.id}.keyHashes"
        customer.keys.forEach { key ->
            val owner = grants[key]?.customer?.takeIf { it != customer.id } ?: updated.putIfAbsent(key, customer.id)
            if (owner != null) faults += SettingsFault(name, "key $key belongs to customer $owner already")
            if (parseKeyHash(key.value) == null) faults += SettingsFault(name, "$key is not a SHA-256 hash")
        }
    }
    return OwnersUpdate(updated, faults)
}

/** The owners in the whole of [document]. */
internal fun ownersOf(document: ConfigurationDocument): OwnersUpdate =
    updateOwners(emptyMap(), emptyMap(), document.customers, document.customers.keys)

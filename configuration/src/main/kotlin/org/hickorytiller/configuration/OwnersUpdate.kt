/**
 * The customer of each key in the customers section, updated only for the changed customers: a full rebuild at 24,000
 * customers would block the event loop of a router on every change.
 */
package org.hickorytiller.configuration

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.keys.parseKeyHash

/** The owners after a change, and the faults of the changed customers. */
internal class OwnersUpdate(val owners: Map<KeyHash, CustomerId>, val faults: List<SettingsFault>)

/**
 * Returns the owners after the customers [changed] have changed from [before] to [after]. A key that already belongs to
 * another customer, in the section or by one of [grants], is a fault.
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

/** Returns the owners of all keys in the customers section of [document]. */
internal fun ownersOf(document: ConfigurationDocument): OwnersUpdate =
    updateOwners(emptyMap(), emptyMap(), document.customers, document.customers.keys)

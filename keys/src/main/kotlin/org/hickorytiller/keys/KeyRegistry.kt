/**
 * The keys that a router accepts, and the requests and streams that run under each of them. A key withdrawal is
 * permanent: no older record and no later grant makes a withdrawn key valid again.
 */
package org.hickorytiller.keys

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash

/** Cancels a use of a key, for example a queued request or an open stream. Must not throw. */
typealias CancelUse = () -> Unit

/** Keys of one router. Confined to the event loop. */
class KeyRegistry {
    private val customers = HashMap<KeyHash, CustomerId>()
    private val withdrawn = HashSet<KeyHash>()
    private val registrations = HashMap<KeyHash, LinkedHashSet<Registration>>()

    /** Number of registrations ended by withdrawals and by removed or changed grants, as a measure of their cost. */
    var endedRegistrationCount = 0L
        private set

    /** Returns the customer that [hash] belongs to; null if the key is unknown or withdrawn. */
    fun customerOf(hash: KeyHash): CustomerId? = if (hash in withdrawn) null else customers[hash]

    /** Grants a key to [customer]. If it belonged to another customer, its registrations are ended. */
    fun grant(hash: KeyHash, customer: CustomerId) {
        val previous = customers.put(hash, customer)
        if (previous != null && previous != customer) endRegistrations(hash)
    }

    /** Changes the customers of some keys; null removes the grant. Other keys are not affected. */
    fun updateGrants(changes: Map<KeyHash, CustomerId?>) = changes.forEach { (hash, customer) ->
        if (customer != null) {
            grant(hash, customer)
        } else if (customers.remove(hash) != null) {
            endRegistrations(hash)
        }
    }

    /** Replaces all grants. Keys that are no longer granted are rejected immediately, and their registrations end. */
    fun replaceGrants(grants: Map<KeyHash, CustomerId>) {
        val removed = customers.filter { (hash, customer) -> grants[hash] != customer }.keys.toList()
        removed.forEach { customers -= it }
        customers.putAll(grants)
        removed.forEach(::endRegistrations)
    }

    /** Withdraws [hash] permanently. Returns false if it was withdrawn already. */
    fun withdraw(hash: KeyHash): Boolean {
        if (!withdrawn.add(hash)) return false
        endRegistrations(hash)
        return true
    }

    /**
     * Registers a use of [hash]. [cancelUse] is called at most once: when the key is withdrawn, or when its grant is
     * removed or given to another customer. If the key was withdrawn between its check and this call, [cancelUse] is
     * called immediately. A key without a grant is registered as well.
     */
    fun register(hash: KeyHash, cancelUse: CancelUse): Registration {
        val registration = Registration(hash, cancelUse)
        if (hash in withdrawn) cancelUse() else registrations.getOrPut(hash) { LinkedHashSet() } += registration
        return registration
    }

    /** Whether [hash] has been withdrawn. */
    fun isWithdrawn(hash: KeyHash): Boolean = hash in withdrawn

    /** Returns all withdrawn hashes. */
    fun withdrawnHashes(): Set<KeyHash> = withdrawn

    /** Returns the number of open registrations of [hash]. */
    fun registrationCount(hash: KeyHash): Int = registrations[hash]?.size ?: 0

    private fun endRegistrations(hash: KeyHash) {
        // The entry is removed first, so that a registration closed by its callback does not change the iterated set.
        registrations.remove(hash)?.forEach {
            endedRegistrationCount++
            it.cancelUse()
        }
    }

    /** A registered use of a key; [close] it when the use ends. */
    inner class Registration internal constructor(private val hash: KeyHash, internal val cancelUse: CancelUse) :
        AutoCloseable {
        override fun close() {
            val open = registrations[hash] ?: return
            open -= this
            if (open.isEmpty()) registrations -= hash
        }
    }
}

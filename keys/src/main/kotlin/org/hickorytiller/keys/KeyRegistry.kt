/**
 * The keys that a router accepts, and what runs under each of them. Withdrawal is final: a hash that was withdrawn
 * once is never accepted again, whatever an older record or another operator says.
 */
package org.hickorytiller.keys

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash

/** Ends what runs under a key, for example a queued request or an open stream. It must not throw. */
typealias OnWithdrawn = () -> Unit

/** Keys of one router. Confined to the event loop. */
class KeyRegistry {
    private val customers = HashMap<KeyHash, CustomerId>()
    private val withdrawn = HashSet<KeyHash>()
    private val registrations = HashMap<KeyHash, LinkedHashSet<Registration>>()

    /** Number of uses that withdrawals and removed grants have visited; it shows what a withdrawal costs. */
    var endedRegistrations = 0L
        private set

    /** The customer that [hash] belongs to; null if the key is unknown or withdrawn. */
    fun customerOf(hash: KeyHash): CustomerId? = if (hash in withdrawn) null else customers[hash]

    /** Grants one more key. Uses of a key that belonged to another customer are ended. */
    fun grant(hash: KeyHash, customer: CustomerId) {
        val previous = customers.put(hash, customer)
        if (previous != null && previous != customer) endRegistrations(hash)
    }

    /** Sets the customer of some keys; a key whose customer is null is no longer granted. Other keys stay. */
    fun updateGrants(changes: Map<KeyHash, CustomerId?>) = changes.forEach { (hash, customer) ->
        if (customer != null) {
            grant(hash, customer)
        } else if (customers.remove(hash) != null) {
            endRegistrations(hash)
        }
    }

    /** Replaces the granted keys. Keys that are no longer granted stop working at once. */
    fun replaceGrants(grants: Map<KeyHash, CustomerId>) {
        val removed = customers.filter { (hash, customer) -> grants[hash] != customer }.keys.toList()
        removed.forEach { customers -= it }
        customers.putAll(grants)
        removed.forEach(::endRegistrations)
    }

    /** Withdraws [hash] for good. Returns false if that was known already. */
    fun withdraw(hash: KeyHash): Boolean {
        if (!withdrawn.add(hash)) return false
        endRegistrations(hash)
        return true
    }

    /**
     * Registers something that runs under [hash]; [onWithdrawn] is called at most once. If the key was withdrawn
     * between its check and this call, [onWithdrawn] is called at once.
     */
    fun register(hash: KeyHash, onWithdrawn: OnWithdrawn): Registration {
        val registration = Registration(hash, onWithdrawn)
        if (hash in withdrawn) onWithdrawn() else registrations.getOrPut(hash) { LinkedHashSet() } += registration
        return registration
    }

    /** Whether [hash] has been withdrawn. */
    fun isWithdrawn(hash: KeyHash): Boolean = hash in withdrawn

    /** All hashes withdrawn so far. */
    fun withdrawnHashes(): Set<KeyHash> = withdrawn

    /** Number of registered uses of [hash]. */
    fun registrationCount(hash: KeyHash): Int = registrations[hash]?.size ?: 0

    private fun endRegistrations(hash: KeyHash) {
        // The entry is removed first, so that a use which closes itself while it ends finds nothing to change.
        registrations.remove(hash)?.forEach {
            endedRegistrations++
            it.onWithdrawn()
        }
    }

    /** A registered use of a key; [close] it when the use ends. */
    inner class Registration internal constructor(private val hash: KeyHash, internal val onWithdrawn: OnWithdrawn) :
        AutoCloseable {
        override fun close() {
            val open = registrations[hash] ?: return
            open -= this
            if (open.isEmpty()) registrations -= hash
        }
    }
}

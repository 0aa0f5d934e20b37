/**
 * Limits retries to a share of the first attempts of a class, so that a failing pool is not loaded further by retries.
 * Pure.
 */
package org.hickorytiller.dispatch

import org.hickorytiller.core.ClassId

/**
 * @property share retries earned by each first attempt
 * @property reserve retries that a class may have saved up; also what it starts with
 */
class RetryBudget(private val share: Double = 0.2, private val reserve: Double = 20.0) {
    private val balances = HashMap<ClassId, Double>()

    /** Records a first attempt of [requestClass]. */
    fun deposit(requestClass: ClassId) {
        balances[requestClass] = (balance(requestClass) + share).coerceAtMost(reserve)
    }

    /** Takes one retry or hedge from the budget of [requestClass]; false if it is used up. */
    fun withdraw(requestClass: ClassId): Boolean {
        val balance = balance(requestClass)
        if (balance < 1.0) return false
        balances[requestClass] = balance - 1.0
        return true
    }

    private fun balance(requestClass: ClassId) = balances[requestClass] ?: reserve
}

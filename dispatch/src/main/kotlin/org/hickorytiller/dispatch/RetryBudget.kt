/**
 * Limits retries to a share of the first attempts of a class, so that a failing pool is not loaded further by retries.
 * Pure.
 */
package org.hickorytiller.dispatch

import org.hickorytiller.core.ClassId

/**
 * @property sharePermille thousandths of a retry earned by each first attempt
 * @property reserve retries that a class may have saved up; also what it starts with
 */
class RetryBudget(private val sharePermille: Int = 200, private val reserve: Int = 20) {
    private val balances = HashMap<ClassId, Int>()

    /** Records a first attempt of [requestClass]. */
    fun deposit(requestClass: ClassId) {
        balances[requestClass] = (balance(requestClass) + sharePermille).coerceAtMost(reserve * PERMILLE)
    }

    /** Takes one retry from the budget of [requestClass]; false if it is used up. */
    fun withdraw(requestClass: ClassId): Boolean {
        val balance = balance(requestClass)
        if (balance < PERMILLE) return false
        balances[requestClass] = balance - PERMILLE
        return true
    }

    private fun balance(requestClass: ClassId) = balances[requestClass] ?: (reserve * PERMILLE)

    private companion object {
        const val PERMILLE = 1_000
    }
}

/**
 * Limits retries to a share of the first attempts of a class, so that retries do not overload a failing pool.
 * Does no I/O and reads no clock.
 */
package org.hickorytiller.dispatch

import org.hickorytiller.core.ClassId

/**
 * @property sharePermille thousandths of a retry that each first attempt adds to the budget
 * @property reserve maximum and initial number of retries in the budget of a class
 */
class RetryBudget(private val sharePermille: Int = 200, private val reserve: Int = 20) {
    private val balances = HashMap<ClassId, Int>()

    /** Records a first attempt of [requestClass]. */
    fun deposit(requestClass: ClassId) {
        balances[requestClass] = (balance(requestClass) + sharePermille).coerceAtMost(reserve * PERMILLE)
    }

    /** Takes one retry from the budget of [requestClass]. Returns false if the budget is exhausted. */
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

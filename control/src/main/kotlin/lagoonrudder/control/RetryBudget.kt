/**
 * A budget that limits retries to a share of first attempts.
 */
package lagoonrudder.control

import kotlin.math.min

/** Each first attempt adds [share] of a retry to the budget, up to [maxRetries] retries. */
class RetryBudget(
    private val share: Double = 0.1,
    private val maxRetries: Double = 20.0,
) {
    private var saved = maxRetries / 2

    /** Adds the share of one first attempt to the budget. */
    fun onFirstAttempt() {
        saved = min(saved + share, maxRetries)
    }

    /** Takes one retry from the budget; returns false if less than one is left. */
    fun spend(): Boolean {
        if (saved < 1.0) return false
        saved -= 1.0
        return true
    }

    fun saved(): Double = saved
}

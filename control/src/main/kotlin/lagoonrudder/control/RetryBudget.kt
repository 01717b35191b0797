/**
 * A budget that keeps retries to a share of first attempts.
 */
package lagoonrudder.control

import kotlin.math.min

/** Each first attempt earns [share] of a retry; at most [most] retries are saved up. */
class RetryBudget(
    private val share: Double = 0.1,
    private val most: Double = 20.0,
) {
    private var saved = most / 2

    fun onFirstAttempt() {
        saved = min(saved + share, most)
    }

    /** Takes one retry from the budget; false when there is none. */
    fun spend(): Boolean {
        if (saved < 1.0) return false
        saved -= 1.0
        return true
    }

    fun saved(): Double = saved
}

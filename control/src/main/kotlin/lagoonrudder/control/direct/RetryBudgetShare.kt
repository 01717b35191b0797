/**
 * This process's share of the retry budget that all entry daemons have in common.
 *
 * The budget of a service over a sliding window is a ratio of its requests plus a fixed allowance. The ratio applies to this
 * process's own requests; the allowance is divided by the number of entry daemons.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.ServiceId
import kotlin.time.Duration

/** The retry budget of all entry daemons together: [ratio] of the requests in [window], plus [allowance]. */
data class RetryBudgetBounds(
    val ratio: Double,
    val window: Duration,
    val allowance: Double,
)

class RetryBudgetShare(
    private val bounds: RetryBudgetBounds,
) {
    private class Window(
        length: Duration,
    ) {
        val requests = SlidingCount(length)
        val retries = SlidingCount(length)
    }

    private val windows = mutableMapOf<ServiceId, Window>()

    fun recordRequest(
        service: ServiceId,
        now: Duration,
    ) {
        windowOf(service).requests.add(now)
    }

    /** Takes one retry from the budget; returns false if the share of one of [entryDaemons] daemons is exhausted. */
    fun spend(
        service: ServiceId,
        entryDaemons: Int,
        now: Duration,
    ): Boolean {
        if (!allows(service, entryDaemons, now)) return false
        windowOf(service).retries.add(now)
        return true
    }

    /** Returns a retry to the budget that was taken and not sent. */
    fun giveBack(service: ServiceId) = windowOf(service).retries.removeLast()

    /** Returns whether the share of one of [entryDaemons] daemons has a retry left. */
    fun allows(
        service: ServiceId,
        entryDaemons: Int,
        now: Duration,
    ): Boolean {
        val window = windowOf(service)
        val share = (window.requests.count(now) * bounds.ratio + bounds.allowance / entryDaemons) * SAFETY_FACTOR
        return window.retries.count(now) + 1 <= share
    }

    private fun windowOf(service: ServiceId): Window = windows.getOrPut(service) { Window(bounds.window) }

    private companion object {
        /** The remainder is left to entry daemons that this one has not discovered. */
        const val SAFETY_FACTOR = 0.7
    }
}

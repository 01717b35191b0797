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
    private class Window {
        val requests = ArrayDeque<Duration>()
        val retries = ArrayDeque<Duration>()
    }

    private val windows = mutableMapOf<ServiceId, Window>()

    fun recordRequest(
        service: ServiceId,
        now: Duration,
    ) {
        windowOf(service, now).requests.addLast(now)
    }

    /** Takes one retry from the budget; returns false if the share of one of [entryDaemons] daemons is exhausted. */
    fun spend(
        service: ServiceId,
        entryDaemons: Int,
        now: Duration,
    ): Boolean {
        val window = windowOf(service, now)
        val share = (window.requests.size * bounds.ratio + bounds.allowance / entryDaemons) * SAFETY_FACTOR
        if (window.retries.size + 1 > share) return false
        window.retries.addLast(now)
        return true
    }

    private fun windowOf(
        service: ServiceId,
        now: Duration,
    ): Window {
        val window = windows.getOrPut(service) { Window() }
        val since = now - bounds.window
        while (window.requests.isNotEmpty() && window.requests.first() < since) window.requests.removeFirst()
        while (window.retries.isNotEmpty() && window.retries.first() < since) window.retries.removeFirst()
        return window
    }

    private companion object {
        /** The remainder is left to entry daemons that this one has not discovered. */
        const val SAFETY_FACTOR = 0.7
    }
}

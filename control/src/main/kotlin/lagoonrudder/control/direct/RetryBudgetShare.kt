/**
 * This process's share of the one budget that all entry daemons have for sending requests once more.
 *
 * The budget of a service in a window of time is a ratio of the requests for it plus a fixed allowance. The ratio is taken
 * of this process's own requests; the allowance is divided by the number of entry daemons.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.ServiceId
import kotlin.time.Duration

/** The bounds of repeats over all entry daemons: [ratio] of the requests in [window], and [allowance] besides. */
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
        val repeats = ArrayDeque<Duration>()
    }

    private val windows = mutableMapOf<ServiceId, Window>()

    fun recordRequest(
        service: ServiceId,
        now: Duration,
    ) {
        windowOf(service, now).requests.addLast(now)
    }

    /** Takes one repeat; false when the share of one in [entries] daemons is spent. */
    fun spend(
        service: ServiceId,
        entries: Int,
        now: Duration,
    ): Boolean {
        val window = windowOf(service, now)
        val share = (window.requests.size * bounds.ratio + bounds.allowance / entries) * SAFE_PART
        if (window.repeats.size + 1 > share) return false
        window.repeats.addLast(now)
        return true
    }

    private fun windowOf(
        service: ServiceId,
        now: Duration,
    ): Window {
        val window = windows.getOrPut(service) { Window() }
        val since = now - bounds.window
        while (window.requests.isNotEmpty() && window.requests.first() < since) window.requests.removeFirst()
        while (window.repeats.isNotEmpty() && window.repeats.first() < since) window.repeats.removeFirst()
        return window
    }

    private companion object {
        /** The rest stays unspent, for entry daemons that this one hasn't heard of. */
        const val SAFE_PART = 0.7
    }
}

/**
 * Counts events in a sliding window of time.
 */
package lagoonrudder.control.direct

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal class SlidingCount(
    private val window: Duration,
) {
    private val times = ArrayDeque<Duration>()

    fun add(now: Duration) {
        count(now)
        times.addLast(now)
    }

    val isNotEmpty: Boolean get() = times.isNotEmpty()

    /** Takes the last event back. */
    fun removeLast() {
        times.removeLastOrNull()
    }

    /** Returns the number of events in the window that ends at [now]. */
    fun count(now: Duration): Int {
        while (times.isNotEmpty() && now - times.first() > window) times.removeFirst()
        return times.size
    }

    fun perSecond(now: Duration): Double = count(now) / (window / 1.seconds)
}

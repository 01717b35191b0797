/**
 * Notices that this process stood still, so that beliefs are confirmed before new work is taken.
 *
 * A tick that comes late shows a pause on the monotonic clock. A pause that this clock doesn't count shows as a jump of the
 * date against it; a step of the date looks the same and costs one needless confirmation.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.model.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class PauseDetector(
    private val clock: Clock,
) {
    private var lastElapsed = clock.elapsed()
    private var lastDate = clock.now()

    /** How long the process stood still since the last call, or null when it ran as it should. */
    fun pause(expected: Duration): Duration? {
        val elapsed = clock.elapsed() - lastElapsed
        val date = clock.now() - lastDate
        lastElapsed += elapsed
        lastDate += date
        val late = maxOf(elapsed, date) - expected
        return late.takeIf { it > LONGEST_LATENESS }
    }

    private companion object {
        val LONGEST_LATENESS = 700.milliseconds
    }
}

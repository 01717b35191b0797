/**
 * Detects that this process was suspended, so that its cached state is confirmed before it accepts new requests.
 *
 * A late tick reveals a pause on the monotonic clock. A pause that the monotonic clock does not count shows as a jump of
 * the wall clock relative to it. An adjustment of the wall clock looks the same and costs one needless confirmation.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.model.Clock
import lagoonrudder.model.read
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A pause of the process, of which the monotonic clock may not have counted [uncounted]. */
data class Pause(
    val duration: Duration,
    val uncounted: Duration,
)

class PauseDetector(
    private val clock: Clock,
) {
    @Volatile
    private var last = clock.read()

    /** Returns the pause because of which this call follows the last one later than [expected]; null within the tolerance. */
    fun check(expected: Duration): Pause? {
        val reading = clock.read()
        val before = last
        last = reading
        val delay = reading.since(before) - expected
        if (delay <= MAX_TICK_DELAY) return null
        return Pause(delay, uncounted = reading.since(before) - (reading.elapsed - before.elapsed))
    }

    /** Returns whether the next [check] would find a pause if it came now. */
    fun isOverdue(expected: Duration): Boolean = clock.read().since(last) - expected > MAX_TICK_DELAY

    private companion object {
        val MAX_TICK_DELAY = 700.milliseconds
    }
}

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

class PauseDetector(
    private val clock: Clock,
) {
    @Volatile
    private var last = clock.read()

    /** Returns how much later than [expected] this call follows the last one, or null when that is within the tolerance. */
    fun check(expected: Duration): Duration? {
        val reading = clock.read()
        val delay = reading.since(last) - expected
        last = reading
        return delay.takeIf { it > MAX_TICK_DELAY }
    }

    /** Returns whether the next [check] would find a pause if it came now. */
    fun isOverdue(expected: Duration): Boolean = clock.read().since(last) - expected > MAX_TICK_DELAY

    private companion object {
        val MAX_TICK_DELAY = 700.milliseconds
    }
}

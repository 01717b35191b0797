/**
 * Wall-clock time for logs and peers, and monotonic time for decisions.
 *
 * Decisions take the time as an argument or read it from an injected [Clock], so that tests can run in virtual time.
 */
package lagoonrudder.model

import kotlin.time.Duration
import kotlin.time.Instant
import kotlin.time.TimeSource

interface Clock {
    /** The wall-clock time, which may jump and differs between processes. */
    fun now(): Instant

    /** The monotonic time since an arbitrary origin in this process. */
    fun elapsed(): Duration
}

/** Both times of a [Clock] at one moment. */
data class ClockReading(
    val elapsed: Duration,
    val now: Instant,
) {
    /** Returns the longer of both times since [earlier]. A suspension of the machine may be counted by only one of them. */
    fun since(earlier: ClockReading): Duration = maxOf(elapsed - earlier.elapsed, now - earlier.now)
}

fun Clock.read() = ClockReading(elapsed(), now())

/** A [Clock] that reads the system time and the monotonic time source. */
class SystemClock : Clock {
    private val start = TimeSource.Monotonic.markNow()

    override fun now(): Instant =
        kotlin.time.Clock.System
            .now()

    override fun elapsed(): Duration = start.elapsedNow()
}

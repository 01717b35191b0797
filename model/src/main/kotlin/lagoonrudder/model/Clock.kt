/**
 * The time as the system sees it: the date for people and peers, and the monotonic time for decisions.
 *
 * Decisions take the time as an argument or read it from a [Clock] passed in, so that tests run in virtual time.
 */
package lagoonrudder.model

import kotlin.time.Duration
import kotlin.time.Instant
import kotlin.time.TimeSource

interface Clock {
    /** The wall-clock time; it may jump, and differs between processes. */
    fun now(): Instant

    /** The time since an arbitrary start of this process; it never goes back. */
    fun elapsed(): Duration
}

/** The clock of the machine. */
class SystemClock : Clock {
    private val start = TimeSource.Monotonic.markNow()

    override fun now(): Instant =
        kotlin.time.Clock.System
            .now()

    override fun elapsed(): Duration = start.elapsedNow()
}

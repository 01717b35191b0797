/**
 * When something happened that this process has only heard of.
 *
 * The time of hearing is the latest possible one. The earliest is the last moment at which it is known not to have happened yet.
 */
package lagoonrudder.model

import kotlin.time.Duration

/** An event not before [earliest] and not after [latest], on the monotonic clock of this process. */
data class EventTime(
    val earliest: Duration,
    val latest: Duration,
) {
    /** Returns what this and [other], two sound statements about one event, say together. */
    fun narrowedBy(other: EventTime): EventTime {
        val soonestEnd = minOf(latest, other.latest)
        // Clocks of two machines drift apart, so the statements may miss each other by a little.
        return EventTime(maxOf(earliest, other.earliest).coerceAtMost(soonestEnd), soonestEnd)
    }

    /** Returns this time after the clock has missed up to [uncounted], which makes the event seem younger than it is. */
    fun afterUncounted(uncounted: Duration): EventTime = EventTime(earliest - uncounted, latest)
}

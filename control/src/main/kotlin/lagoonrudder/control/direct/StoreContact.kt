/**
 * The time in which the store answered daemons, by which an outage is told from silence.
 */
package lagoonrudder.control.direct

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A registration expires after three heartbeats of silence, 3.6 s. So none can expire in a shorter outage than this, whenever its last
 * heartbeat was. A watch that gets no response is followed by another call within less.
 */
internal val STORE_AWAY_AFTER = 2_200.milliseconds

/**
 * The time in which the store kept answering daemons: the first and the last answer that is known, with no gap between answers that is
 * as long as an outage.
 */
data class StoreContact(
    val since: Duration,
    val until: Duration,
) {
    /** Returns this contact and [other] as one, or the later one if the store may have been away between them. */
    fun joinedWith(other: StoreContact): StoreContact {
        val (earlier, later) = if (since <= other.since) this to other else other to this
        if (later.since - earlier.until >= STORE_AWAY_AFTER) return later
        return StoreContact(earlier.since, maxOf(earlier.until, later.until))
    }
}

/**
 * The places of one back end that this process may take while few are free.
 *
 * Each entry daemon learns only later that another took a place. So of the free places that all see, each claims its share in
 * every interval between two reports, and in addition the places that its own requests release.
 */
package lagoonrudder.control.direct.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class PlaceClaims {
    private var sharedAt = Duration.ZERO
    private var share = 0
    private var released = 0
    private var releasedAt = Duration.ZERO

    /**
     * Returns whether this process may take one of [free] places that all of [contenders] daemons see. Its share is drawn once in
     * [interval]; [fraction] from 0 to 1 rounds it.
     */
    fun mayTake(
        free: Int,
        contenders: Int,
        fraction: Double,
        interval: Duration,
        now: Duration,
    ): Boolean {
        if (now - sharedAt >= interval) {
            sharedAt = now
            share = (free.toDouble() / contenders + fraction).toInt()
        }
        return share > 0 || (released > 0 && now - releasedAt < interval)
    }

    fun onTaken() {
        if (released > 0) released-- else share--
    }

    fun onReleased(now: Duration) {
        if (now - releasedAt > RELEASE_MEMORY) released = 0
        released++
        releasedAt = now
    }

    private companion object {
        /** After this time other daemons have heard of a place that was released. */
        val RELEASE_MEMORY = 450.milliseconds
    }
}

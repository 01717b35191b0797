/**
 * Links as arithmetic on queues: a transfer ends when the slowest of the links it crosses has sent it after all before it.
 */
package lagoonrudder.standins.measure

import kotlin.math.max

/** One direction of a link; times in seconds, rates in bytes a second. */
class Link(
    val rate: Double,
) {
    private var freeAt = 0.0
    var bytes = 0.0
        private set

    /** Takes a transfer that starts at [now] and returns when its last byte is through. */
    fun send(
        size: Double,
        now: Double,
    ): Double {
        freeAt = max(freeAt, now) + size / rate
        bytes += size
        return freeAt
    }
}

/** The rates of a site, from the users' figures: what a link carries, in copies of the weights, within the time allowed. */
data class LinkRates(
    val copyBytes: Double = 500e6,
    val allowedSeconds: Double = 240.0,
    val originCopies: Double = 4.0,
    val instanceCopies: Double = 2.0,
    val regionBytesPerSecond: Double = 2.25e6,
    val weightShare: Double = 0.75,
) {
    val origin: Double get() = originCopies * copyBytes / allowedSeconds
    val instance: Double get() = instanceCopies * copyBytes / allowedSeconds
    val region: Double get() = regionBytesPerSecond * weightShare
}

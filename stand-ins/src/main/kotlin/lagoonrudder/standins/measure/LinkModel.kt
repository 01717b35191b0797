/**
 * Network links modelled as FIFO queues: a transfer ends when the slowest link on its path has sent it, after all earlier transfers.
 */
package lagoonrudder.standins.measure

import kotlin.math.max

/** One direction of a network link; times in seconds, [rate] in bytes per second. */
class Link(
    val rate: Double,
) {
    private var freeAt = 0.0
    var bytes = 0.0
        private set

    /** Queues a transfer of [size] bytes that starts at [now] and returns the time at which its last byte has been sent. */
    fun send(
        size: Double,
        now: Double,
    ): Double {
        freeAt = max(freeAt, now) + size / rate
        bytes += size
        return freeAt
    }
}

/**
 * The link rates of a site in bytes per second.
 *
 * The origin and each instance may send [originCopies] and [instanceCopies] copies of the weights within [allowedSeconds]. Between
 * two regions, weights may use [weightShare] of [regionBytesPerSecond].
 */
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

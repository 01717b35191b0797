/**
 * Estimates how soon this process gets places at the back ends of one service, from what it observed in the last seconds.
 *
 * Every entry daemon observes the places that its own requests release and the requests that arrive at it. Since a place that
 * one daemon loses to another is a place that the other loses to it at some other time, the estimates of all daemons add up to
 * the capacity of the service without any agreement; a daemon that stops, joins or is cut off changes only its own estimate.
 */
package lagoonrudder.control.direct.admission

import lagoonrudder.control.direct.SlidingCount
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ServiceLoad {
    private val releases = SlidingCount(WINDOW)
    private val arrivals = mutableMapOf<UrgencyLevel, SlidingCount>()
    private var meanHold = INITIAL_HOLD
    private var meanFirstEvent = INITIAL_FIRST_EVENT
    private var firstEventDeviation = INITIAL_FIRST_EVENT

    /** The mean time for which an answered request occupies a place. */
    val hold: Duration get() = meanHold

    /** The time from the placement of a request within which the first event of its response comes in most cases. */
    val firstEvent: Duration get() = meanFirstEvent + firstEventDeviation * DEVIATIONS

    /** Records the arrival of a request of [level] that can still meet its latency objective. */
    fun recordArrival(
        level: UrgencyLevel,
        now: Duration,
    ) = arrivals.getOrPut(level) { SlidingCount(WINDOW) }.add(now)

    fun recordRelease(now: Duration) = releases.add(now)

    /** Records how long an answered request occupied its place, and after which part of it the first event came. */
    fun recordAnswer(
        held: Duration,
        firstEvent: Duration?,
    ) {
        meanHold += (held - meanHold) * SMOOTHING
        val first = firstEvent ?: held
        firstEventDeviation += ((first - meanFirstEvent).absoluteValue - firstEventDeviation) * SMOOTHING
        meanFirstEvent += (first - meanFirstEvent) * SMOOTHING
    }

    /**
     * Returns when the [position]th place from now becomes free that requests more urgent than [level] leave over; infinite while none
     * is being released.
     */
    fun timeToPlace(
        position: Int,
        level: UrgencyLevel,
        now: Duration,
    ): Duration = timeFor(position, releases.perSecond(now) - arrivalsPerSecond(now) { it < level })

    /**
     * Returns when the [position]th place becomes free that is left over by requests of [level] and more urgent ones which can still
     * meet their objective; infinite while these take all places.
     */
    fun timeToSparePlace(
        position: Int,
        level: UrgencyLevel,
        now: Duration,
    ): Duration = timeFor(position, releases.perSecond(now) * SPARE_SHARE - arrivalsPerSecond(now) { it <= level })

    private fun arrivalsPerSecond(
        now: Duration,
        counted: (UrgencyLevel) -> Boolean,
    ): Double = arrivals.entries.sumOf { (level, count) -> if (counted(level)) count.perSecond(now) else 0.0 }

    private fun timeFor(
        places: Int,
        perSecond: Double,
    ): Duration = if (perSecond <= 0.0) Duration.INFINITE else (places / perSecond).seconds

    private companion object {
        /** Long enough to hold several requests of one entry daemon, short enough to follow a burst. */
        val WINDOW = 2.seconds
        const val SMOOTHING = 0.1

        /** The part of the places beyond which requests in time would often find none if late ones waited for the others. */
        const val SPARE_SHARE = 0.8
        const val DEVIATIONS = 2
        val INITIAL_HOLD = 500.milliseconds
        val INITIAL_FIRST_EVENT = 100.milliseconds
    }
}

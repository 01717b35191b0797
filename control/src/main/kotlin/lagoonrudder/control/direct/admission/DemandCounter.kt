/**
 * Counts the requests of one service at this process, by level of urgency, over the last second.
 *
 * The window is long enough to hold several requests of each daemon and short enough that a burst shows in it within half a second.
 */
package lagoonrudder.control.direct.admission

import lagoonrudder.control.direct.SlidingCount
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal class DemandCounter {
    private class Counts {
        val arrivals = SlidingCount(WINDOW)
        val placed = SlidingCount(WINDOW)
        val refused = SlidingCount(WINDOW)
    }

    private val countsByLevel = sortedMapOf<UrgencyLevel, Counts>()

    /** Records the arrival of a request that can still meet its latency objective. */
    fun recordArrival(
        level: UrgencyLevel,
        now: Duration,
    ) = countsOf(level).arrivals.add(now)

    fun recordPlaced(
        level: UrgencyLevel,
        now: Duration,
    ) = countsOf(level).placed.add(now)

    /** Takes back a placed request that did not run. Its level is not known any more; decisions need the sum over all levels. */
    fun withdrawPlaced() {
        countsByLevel.values
            .lastOrNull { it.placed.isNotEmpty }
            ?.placed
            ?.removeLast()
    }

    fun recordRefused(
        level: UrgencyLevel,
        now: Duration,
    ) = countsOf(level).refused.add(now)

    /** Returns the counts by level from the most urgent on, without levels that have none; [waitingOf] counts those that wait now. */
    fun demand(
        now: Duration,
        waitingOf: (UrgencyLevel) -> Int,
    ): List<LevelDemand> =
        countsByLevel
            .map { (level, counts) ->
                LevelDemand(level, counts.arrivals.count(now), counts.placed.count(now), counts.refused.count(now), waitingOf(level))
            }.filterNot { it.isEmpty }

    private fun countsOf(level: UrgencyLevel) = countsByLevel.getOrPut(level) { Counts() }

    private companion object {
        val WINDOW = 1.seconds
    }
}

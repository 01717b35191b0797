/**
 * Decides which levels of urgency are admitted to a service while its slots are scarce.
 *
 * The load pattern that it addresses is a burst of less urgent requests, which would otherwise take the slots that more urgent ones
 * need at other daemons. Every daemon computes the decision from the same counts, so that they agree without asking each other.
 */
package lagoonrudder.control.direct.admission

/** What is admitted to a service. */
sealed class AdmissionLevel {
    /** Returns the share of the requests of [level] that is admitted. */
    abstract fun shareOf(level: UrgencyLevel): Double

    /** Every request is admitted. */
    data object Open : AdmissionLevel() {
        override fun shareOf(level: UrgencyLevel): Double = 1.0
    }

    /** Levels more urgent than [level] are admitted whole, [share] of [level], and [floor] of the less urgent ones. */
    data class Bound(
        val level: UrgencyLevel,
        val share: Double,
        val floor: Double,
    ) : AdmissionLevel() {
        override fun shareOf(level: UrgencyLevel): Double =
            when {
                level < this.level -> 1.0
                level == this.level -> share
                else -> floor
            }
    }
}

/** The slots of the usable back ends of a service, and how many of them are in use. */
data class SlotUse(
    val slots: Int,
    val busy: Int,
) {
    /** Whether so many slots are free that nobody may be refused. */
    val isAmple: Boolean get() = slots - busy >= slots * AMPLE_SHARE && slots > busy

    private companion object {
        const val AMPLE_SHARE = 0.25
    }
}

/**
 * Returns what a service admits that can take [capacity] requests a second, of which [demand] arrived in the last second. [previous]
 * is the decision before this one.
 */
fun admissionLevel(
    demand: List<LevelDemand>,
    capacity: Double,
    previous: AdmissionLevel,
): AdmissionLevel {
    val arriving = demand.filter { it.arrivals > 0 }.sortedBy { it.level }
    val total = arriving.sumOf { it.arrivals }
    val ratio = if (total == 0) Double.POSITIVE_INFINITY else capacity / total
    val openFrom =
        when (previous) {
            AdmissionLevel.Open -> 1.0
            is AdmissionLevel.Bound -> REOPENING_RATIO
        }
    if (ratio >= openFrom) return AdmissionLevel.Open
    val overall = ratio.coerceAtMost(1.0)
    val floor = overall * FLOOR_SHARE
    var left = total * (overall - floor)
    for (each in arriving) {
        val needed = each.arrivals * (1 - floor)
        if (left < needed) return boundAt(each.level, floor + left / each.arrivals, floor, previous)
        left -= needed
    }
    return AdmissionLevel.Bound(arriving.last().level, 1.0, floor)
}

/** Returns the decision to cut at [level], or at the more urgent level of [previous] while the difference between both is small. */
private fun boundAt(
    level: UrgencyLevel,
    share: Double,
    floor: Double,
    previous: AdmissionLevel,
): AdmissionLevel.Bound {
    val isBarelyAbove = previous is AdmissionLevel.Bound && previous.level < level && share < floor + LEVEL_MARGIN
    return if (isBarelyAbove) previous.copy(share = 1.0, floor = floor) else AdmissionLevel.Bound(level, share, floor)
}

/** By how much a level must be admitted above the floor before it counts as the one that is cut, so that two levels don't alternate. */
private const val LEVEL_MARGIN = 0.1

/** The part of the overall share that the least urgent level keeps: a quarter is promised, and some admitted requests find no slot. */
private const val FLOOR_SHARE = 0.3

/** Capacity per arrival from which on everything is admitted again. Counts of a second vary by a few in a hundred. */
private const val REOPENING_RATIO = 1.1

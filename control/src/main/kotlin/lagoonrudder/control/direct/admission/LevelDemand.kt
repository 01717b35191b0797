/**
 * What the requests of one service ask for, by urgency.
 *
 * Ranks differ from customer to customer and may be many, so they are grouped into a few levels that daemons can report to each other.
 */
package lagoonrudder.control.direct.admission

/** A group of ranks of one service; 0 is the most urgent. */
@JvmInline
value class UrgencyLevel(
    val index: Int,
) : Comparable<UrgencyLevel> {
    override fun compareTo(other: UrgencyLevel): Int = index.compareTo(other.index)
}

/** Requests of one level: those of the last second by what became of them, and those that wait now. */
data class LevelDemand(
    val level: UrgencyLevel,
    val arrivals: Int,
    val placed: Int,
    val refused: Int,
    val waiting: Int,
) {
    val isEmpty: Boolean get() = arrivals == 0 && placed == 0 && refused == 0 && waiting == 0

    operator fun plus(other: LevelDemand): LevelDemand =
        LevelDemand(level, arrivals + other.arrivals, placed + other.placed, refused + other.refused, waiting + other.waiting)
}

/** Returns the sum of the demand that several daemons report for one service, by level from the most urgent on. */
fun sumOfDemand(reports: List<List<LevelDemand>>): List<LevelDemand> =
    reports
        .flatten()
        .groupBy { it.level }
        .map { (_, demand) -> demand.reduce(LevelDemand::plus) }
        .sortedBy { it.level }

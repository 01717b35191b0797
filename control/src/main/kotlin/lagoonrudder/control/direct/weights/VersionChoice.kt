/**
 * Chooses the version of a model whose chunks a daemon fetches while several declared versions compete for scarce links.
 *
 * The load pattern is a newer version that is declared while an older one is still on its way, for example because the origin was away.
 * Every version except the newest stops counting at the limit of the oldest declaration that is newer than it. A version on which requests
 * could begin for less than [MIN_SERVICE] only takes bandwidth from the newest one.
 */
package lagoonrudder.control.direct.weights

import lagoonrudder.control.direct.DeclaredVersions
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A version is fetched only if requests can begin on it for this long before it stops counting. */
private val MIN_SERVICE = 1.seconds

/** How long a back end loads staged chunks once its running requests have ended. */
val DEFAULT_LOAD_TIME = 300.milliseconds

/**
 * What a daemon has of a model and how fast more arrives. [held] is the version that its back ends hold. [missing] has the bytes missing
 * of each version in progress; those that are not in it have not been begun and lack a [copySize]. Chunks arrive at [rate] bytes a
 * second, null while that is unknown. No source delivers the [refused] versions.
 */
data class VersionSupply(
    val held: WeightNumber?,
    val missing: Map<WeightNumber, Long>,
    val copySize: Long,
    val rate: Double?,
    val loadTime: Duration = DEFAULT_LOAD_TIME,
    val refused: Set<WeightNumber> = emptySet(),
)

/**
 * When a version would serve if only it were fetched, and when it stops counting. [servesAt] is null without a rate, [stopsAt] is null
 * for the newest version.
 */
data class VersionOutlook(
    val number: WeightNumber,
    val missing: Long,
    val servesAt: Duration?,
    val stopsAt: Duration?,
)

/**
 * A decision with its inputs. [outlooks] has the versions in progress and the newest one, oldest first. [isNewestInTime] tells whether the
 * newest version can serve before the held one stops counting, as far as the rate is known.
 */
data class VersionChoice(
    val decision: VersionDecision,
    val outlooks: List<VersionOutlook>,
    val isNewestInTime: Boolean,
) {
    /** Returns whether chunks of [number] are fetched. A version that this daemon has not heard of yet is newer than those it knows. */
    fun isWorthFetching(number: WeightNumber): Boolean {
        val newest = outlooks.lastOrNull()?.number ?: return true
        return number >= newest || decision == VersionDecision.FinishFirst(number)
    }

    companion object {
        /** Returns the choice between the declared [versions] of [model] at [now]. */
        fun of(
            model: ModelId,
            versions: DeclaredVersions,
            supply: VersionSupply,
            now: Duration,
        ): VersionChoice {
            val newest = versions.newest[model] ?: return VersionChoice(VersionDecision.Nothing, emptyList(), isNewestInTime = true)
            val numbers = (supply.missing.keys.filter { it < newest } + newest).sorted()
            val outlooks =
                numbers.map { number ->
                    val missing = supply.missing[number] ?: supply.copySize
                    VersionOutlook(number, missing, servesAt(missing, supply, now), versions.oldestUnmet(model, number)?.limitAt)
                }
            val heldStopsAt = supply.held?.let { versions.oldestUnmet(model, it)?.limitAt ?: Duration.INFINITE } ?: now
            val older = outlooks.dropLast(1).filter { (supply.held == null || it.number > supply.held) && it.number !in supply.refused }
            val finished = older.lastOrNull { isFinishedFirst(it, outlooks.last(), heldStopsAt, supply, now) }
            return VersionChoice(decisionFor(outlooks.last(), finished, supply), outlooks, (outlooks.last().servesAt ?: now) <= heldStopsAt)
        }

        private fun decisionFor(
            newest: VersionOutlook,
            finished: VersionOutlook?,
            supply: VersionSupply,
        ): VersionDecision =
            when {
                supply.held != null && supply.held >= newest.number -> VersionDecision.Nothing
                newest.missing == 0L -> VersionDecision.Nothing
                finished != null -> VersionDecision.FinishFirst(finished.number)
                else -> VersionDecision.Fetch(newest.number)
            }

        private fun servesAt(
            missing: Long,
            supply: VersionSupply,
            now: Duration,
        ): Duration? =
            when {
                missing == 0L -> now + supply.loadTime
                supply.rate == null -> null
                else -> now + (missing / supply.rate).seconds + supply.loadTime
            }

        /**
         * Returns whether to complete [older] before the [newest] version. A complete one is loaded while it counts. An incomplete one is
         * completed only if the newest can't serve before the held version stops counting, and serves well after the older one.
         */
        private fun isFinishedFirst(
            older: VersionOutlook,
            newest: VersionOutlook,
            heldStopsAt: Duration,
            supply: VersionSupply,
            now: Duration,
        ): Boolean {
            val stopsAt = older.stopsAt ?: return false
            if (older.missing == 0L) return now + supply.loadTime < stopsAt
            val servesAt = older.servesAt ?: return false
            val newestServesAt = newest.servesAt ?: return false
            return newestServesAt > heldStopsAt && servesAt + MIN_SERVICE <= minOf(stopsAt, newestServesAt)
        }
    }
}

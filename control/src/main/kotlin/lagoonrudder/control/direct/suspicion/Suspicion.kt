/**
 * What crashes have in common: parts that were in a request at each of them and that no answer contradicts.
 */
package lagoonrudder.control.direct.suspicion

import lagoonrudder.model.BackEndRun
import lagoonrudder.model.PromptPartId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * [crashes] and their times, and the [parts] that all of them have in common. With several parts only a request that has all of
 * them is suspect, since any one of them may be sound. [episodes] counts crashes at about the same time as one, since many back
 * ends that are lost at once share a cause other than a request.
 */
data class Suspicion(
    val parts: Set<PromptPartId>,
    val crashes: Map<BackEndRun, Duration>,
    val episodes: Int,
) {
    val isAccusation: Boolean get() = episodes >= EPISODES_OF_ACCUSATION

    /** The time from which a probe may show whether the parts still crash back ends. */
    val heldUntil: Duration get() = crashes.values.max() + holdTime

    private val holdTime: Duration
        get() = (FIRST_HOLD * (1 shl (episodes - EPISODES_OF_ACCUSATION).coerceIn(0, MAX_DOUBLINGS))).coerceAtMost(MAX_HOLD)

    private companion object {
        val FIRST_HOLD = 10.seconds
        val MAX_HOLD = 5.minutes
        const val MAX_DOUBLINGS = 5
    }
}

private const val EPISODES_OF_SUSPICION = 2
private const val EPISODES_OF_ACCUSATION = 3

/** Back ends that are lost at once are lost within this time, with the delays between failure domains. */
private val EPISODE_LENGTH = 100.milliseconds

/** How long a probe may take to crash its back end or to be answered. */
internal val PROBE_TIMEOUT = 10.seconds

/**
 * Explains crashes by as few parts as possible: the part with the most crashes explains all of them, and only what is left speaks
 * against other parts.
 */
internal fun suspicionsOf(
    runsByPart: Map<PromptPartId, Set<BackEndRun>>,
    crashedAt: Map<BackEndRun, Duration>,
): List<Suspicion> {
    val suspicions = mutableListOf<Suspicion>()
    var unexplained = runsByPart.filterValues { it.size >= EPISODES_OF_SUSPICION }
    while (true) {
        val (_, runs) = unexplained.maxWithOrNull(compareBy({ episodesOf(it.value, crashedAt) }, { it.value.size })) ?: break
        val episodes = episodesOf(runs, crashedAt)
        if (episodes < EPISODES_OF_SUSPICION) break
        val parts = unexplained.filterValues { it == runs }.keys.toSet()
        suspicions += Suspicion(parts, runs.associateWith { crashedAt.getValue(it) }, episodes)
        unexplained = unexplained.mapValues { it.value - runs }.filterValues { it.size >= EPISODES_OF_SUSPICION }
    }
    return suspicions
}

private fun episodesOf(
    runs: Set<BackEndRun>,
    crashedAt: Map<BackEndRun, Duration>,
): Int {
    var count = 0
    var start: Duration? = null
    for (at in runs.map { crashedAt.getValue(it) }.sorted()) {
        if (start != null && at - start < EPISODE_LENGTH) continue
        start = at
        count++
    }
    return count
}

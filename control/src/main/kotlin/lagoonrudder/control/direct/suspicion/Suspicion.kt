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

    /** The parts, for logs. */
    val name: String get() = parts.joinToString("+") { it.text }

    /** Describes the crashes that speak against the parts, with their back ends and ages, newest first. */
    fun describe(now: Duration): String {
        val newestFirst = crashes.entries.sortedByDescending { it.value }
        val ages = newestFirst.joinToString(",") { "${it.key.target.text}:${(now - it.value).inWholeMilliseconds}ms" }
        return "part $name crashed $ages"
    }

    private val holdTime: Duration
        get() = (FIRST_HOLD * (1 shl (episodes - EPISODES_OF_ACCUSATION).coerceIn(0, MAX_DOUBLINGS))).coerceAtMost(MAX_HOLD)

    private companion object {
        val FIRST_HOLD = 10.seconds
        val MAX_HOLD = 5.minutes
        const val MAX_DOUBLINGS = 5
    }
}

/** Bounds the cost of a decision; the strongest suspicions come first. */
private const val MAX_SUSPICIONS = 16
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
    var unexplained = runsByPart.mapNotNull { (part, runs) -> candidateOf(part, runs.map { Crash(it, crashedAt.getValue(it)) }) }
    while (suspicions.size < MAX_SUSPICIONS) {
        val strongest = unexplained.maxWithOrNull(compareBy({ it.episodes }, { it.crashes.size }, { it.part.text })) ?: break
        val parts = unexplained.filter { it.crashes == strongest.crashes }.mapTo(mutableSetOf()) { it.part }
        suspicions += Suspicion(parts, strongest.crashes.associate { it.run to it.at }, strongest.episodes)
        val explained = strongest.crashes.mapTo(mutableSetOf()) { it.run }
        unexplained = unexplained.mapNotNull { it.without(explained) }
    }
    return suspicions
}

private data class Crash(
    val run: BackEndRun,
    val at: Duration,
)

/** A part and the [crashes] that nothing else explains, in their order. */
private class Candidate(
    val part: PromptPartId,
    val crashes: List<Crash>,
    val episodes: Int,
) {
    fun without(explained: Set<BackEndRun>): Candidate? =
        if (crashes.none { it.run in explained }) this else candidateOf(part, crashes.filter { it.run !in explained })
}

/** Returns null if [crashes] are too few to suspect [part]. */
private fun candidateOf(
    part: PromptPartId,
    crashes: List<Crash>,
): Candidate? {
    if (crashes.size < EPISODES_OF_SUSPICION) return null
    val ordered = crashes.sortedWith(compareBy({ it.at }, { it.run.target.text }))
    val episodes = episodesOf(ordered)
    return if (episodes < EPISODES_OF_SUSPICION) null else Candidate(part, ordered, episodes)
}

private fun episodesOf(ordered: List<Crash>): Int {
    var count = 0
    var start: Duration? = null
    for (crash in ordered) {
        if (start != null && crash.at - start < EPISODE_LENGTH) continue
        start = crash.at
        count++
    }
    return count
}

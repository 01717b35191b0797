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
 * ends that are lost at once share a cause other than a request. [wereAnswered] tells that the parts were answered before, so that
 * crashes at one time do not speak against them.
 */
data class Suspicion(
    val parts: Set<PromptPartId>,
    val crashes: Map<BackEndRun, Duration>,
    val episodes: Int,
    val wereAnswered: Boolean,
) {
    val isAccusation: Boolean
        get() = crashes.size >= CRASHES_OF_ACCUSATION && (!wereAnswered || episodes >= EPISODES_OF_ACCUSATION)

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

    /** Whether the crashes came before any daemon could hold requests back; a loss of back ends looks the same, so a probe tells soon. */
    private val mayBeOneLoss: Boolean get() = crashes.values.max() - crashes.values.min() < SETTLING_TIME

    private val holdTime: Duration
        get() = if (mayBeOneLoss) Duration.ZERO else (FIRST_HOLD * (1 shl doublings)).coerceAtMost(MAX_HOLD)

    private val doublings: Int get() = (crashes.size - CRASHES_OF_ACCUSATION).coerceIn(0, MAX_DOUBLINGS)

    private companion object {
        val FIRST_HOLD = 10.seconds
        val MAX_HOLD = 5.minutes
        const val MAX_DOUBLINGS = 5
    }
}

/** Bounds the cost of a decision; the strongest suspicions come first. */
private const val MAX_SUSPICIONS = 16
private const val CRASHES_OF_SUSPICION = 2
private const val CRASHES_OF_ACCUSATION = 3
private const val EPISODES_OF_SUSPICION = 2
private const val EPISODES_OF_ACCUSATION = 3

/** Back ends that are lost at once are lost within this time, with the delays between failure domains. */
private val EPISODE_LENGTH = 100.milliseconds

/** The time in which every daemon that can be reached knows of a crash or of a probe. */
internal val SETTLING_TIME = 1.seconds

/** How long a probe may take to crash its back end or to be answered. */
internal val PROBE_TIMEOUT = 10.seconds

/** The uncontradicted crashes of a part, and whether it was ever answered. */
internal class PartCrashes(
    val part: PromptPartId,
    val runs: Set<BackEndRun>,
    val wasAnswered: Boolean,
)

/**
 * Explains crashes by as few parts as possible: the part with the most crashes explains all of them, and only what is left speaks
 * against other parts.
 */
internal fun suspicionsOf(
    partCrashes: List<PartCrashes>,
    crashedAt: Map<BackEndRun, Duration>,
): List<Suspicion> {
    val suspicions = mutableListOf<Suspicion>()
    var unexplained =
        partCrashes.mapNotNull { each -> candidateOf(each.part, each.runs.map { Crash(it, crashedAt.getValue(it)) }, each.wasAnswered) }
    while (suspicions.size < MAX_SUSPICIONS) {
        val strongest = unexplained.maxWithOrNull(compareBy({ it.episodes }, { it.crashes.size }, { it.part.text })) ?: break
        val equal = unexplained.filter { it.crashes == strongest.crashes }
        val neverAnswered = equal.filter { !it.wasAnswered }
        suspicions +=
            Suspicion(
                parts = neverAnswered.ifEmpty { equal }.mapTo(mutableSetOf()) { it.part },
                crashes = strongest.crashes.associate { it.run to it.at },
                episodes = strongest.episodes,
                wereAnswered = neverAnswered.isEmpty(),
            )
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
    val wasAnswered: Boolean,
) {
    fun without(explained: Set<BackEndRun>): Candidate? =
        if (crashes.none { it.run in explained }) this else candidateOf(part, crashes.filter { it.run !in explained }, wasAnswered)
}

/** Returns null if [crashes] are too few to suspect [part]. */
private fun candidateOf(
    part: PromptPartId,
    crashes: List<Crash>,
    wasAnswered: Boolean,
): Candidate? {
    if (crashes.size < CRASHES_OF_SUSPICION) return null
    val ordered = crashes.sortedWith(compareBy({ it.at }, { it.run.target.text }))
    val episodes = episodeStarts(ordered) { it.at }.size
    return if (wasAnswered && episodes < EPISODES_OF_SUSPICION) null else Candidate(part, ordered, episodes, wasAnswered)
}

/** Returns those of [ordered] crashes that begin an episode; [timeOf] is the time of a crash. */
internal fun <T> episodeStarts(
    ordered: List<T>,
    timeOf: (T) -> Duration,
): List<T> {
    val starts = mutableListOf<T>()
    for (crash in ordered) if (starts.isEmpty() || timeOf(crash) - timeOf(starts.last()) >= EPISODE_LENGTH) starts += crash
    return starts
}

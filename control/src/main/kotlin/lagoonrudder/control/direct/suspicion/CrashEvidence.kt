/**
 * The crashes of back ends by the prompt parts of the requests that they were about to answer.
 *
 * A crash speaks against a part until the same part is answered elsewhere; from then on it is contradicted and never counts again.
 * So evidence that is merged in any order, or from a peer that was cut off for a while, leads to the same result everywhere. The
 * table is bounded; if it is full, each daemon keeps the same parts, and of each part the crashes that speak most against it.
 */
package lagoonrudder.control.direct.suspicion

import lagoonrudder.model.BackEndRun
import lagoonrudder.model.PromptPartId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Evidence about [part] as exchanged between daemons: the runs that ended on it, those of them that don't count, and whether the part
 * was ever answered.
 */
data class PartReport(
    val part: PromptPartId,
    val crashes: Set<BackEndRun>,
    val contradicted: Set<BackEndRun>,
    val probeAge: Duration?,
    val wasAnswered: Boolean,
)

/** All evidence of a daemon; [runs] holds the time since each crash. */
data class EvidenceReport(
    val runs: Map<BackEndRun, Duration>,
    val parts: List<PartReport>,
)

internal class CrashEvidence {
    private class Entry(
        var wasAnswered: Boolean,
    ) {
        /** The runs that ended on this part; the value tells whether it was answered since. */
        val contradictedByRun = mutableMapOf<BackEndRun, Boolean>()
        var answeredAt: Duration? = null
        var probedAt: Duration? = null

        val openRuns: Set<BackEndRun> get() = contradictedByRun.filterValues { !it }.keys
    }

    private class Summary(
        val suspicions: List<Suspicion>,
        val digest: Long,
    )

    private val entries = mutableMapOf<PromptPartId, Entry>()
    private val crashedAt = mutableMapOf<BackEndRun, Duration>()
    private val recentlyAnswered = RecentParts(MAX_ANSWERED_PARTS)

    private var summary = Summary(emptyList(), 0)
    private var isSummaryCurrent = true

    /** The uncontradicted crashes, grouped by what they have in common; strongest first. */
    val suspicions: List<Suspicion> get() = currentSummary().suspicions

    /** Equal for daemons that know the same; 0 without evidence. It does not depend on clocks. */
    val digest: Long get() = currentSummary().digest

    val partCount: Int get() = entries.size

    fun recordCrash(
        run: BackEndRun,
        parts: Collection<PromptPartId>,
        now: Duration,
    ) {
        crashedAt.putIfAbsent(run, now)
        for (part in parts) addRun(entryOf(part), run)
        onChanged()
    }

    fun recordAnswer(
        parts: Collection<PromptPartId>,
        now: Duration,
    ) {
        recentlyAnswered.addAll(parts)
        if (entries.isEmpty()) return
        for (part in parts) {
            val entry = entries[part] ?: continue
            entry.answeredAt = now
            val contradicted = entry.openRuns
            contradicted.forEach { entry.contradictedByRun[it] = true }
            if (contradicted.isEmpty() && entry.wasAnswered) continue
            entry.wasAnswered = true
            onChanged()
        }
    }

    private fun entryOf(part: PromptPartId) = entries.getOrPut(part) { Entry(wasAnswered = part in recentlyAnswered) }

    fun recordProbe(
        parts: Set<PromptPartId>,
        now: Duration,
    ) {
        for (part in parts) entries[part]?.probedAt = now
        onChanged()
    }

    /** Returns when the last probe of [parts] began whose result is not known; null if there is none. */
    fun probedAt(parts: Set<PromptPartId>): Duration? = parts.mapNotNull { entries[it]?.probedAt }.maxOrNull()

    /** Adds the evidence of a peer. What is too old, or has no time, is ignored. */
    fun merge(
        report: EvidenceReport,
        now: Duration,
    ) {
        for ((run, age) in report.runs) {
            if (age.isNegative() || !age.isFinite()) continue
            val known = crashedAt[run]
            if (known == null || now - age < known) crashedAt[run] = now - age
        }
        for (part in report.parts) mergePart(part, now)
        onChanged()
    }

    private fun mergePart(
        report: PartReport,
        now: Duration,
    ) {
        val runs = report.crashes.filter { it in crashedAt }
        if (runs.none { isFresh(crashedAt.getValue(it), now) }) return
        val entry = entryOf(report.part)
        if (report.wasAnswered) entry.wasAnswered = true
        for (run in runs) {
            addRun(entry, run)
            if (run in report.contradicted) entry.contradictedByRun[run] = true
        }
        val probedAt = report.probeAge?.let { now - it }
        if (entry.probedAt == null && probedAt != null && now - probedAt < PROBE_TIMEOUT) entry.probedAt = probedAt
    }

    private fun addRun(
        entry: Entry,
        run: BackEndRun,
    ) {
        if (run in entry.contradictedByRun) return
        val at = crashedAt.getValue(run)
        entry.contradictedByRun[run] = entry.answeredAt?.let { it > at } ?: false
        if (entry.probedAt?.let { it < at } == true) entry.probedAt = null
        while (entry.contradictedByRun.size > MAX_RUNS) entry.contradictedByRun.remove(leastTelling(entry))
    }

    /** Returns the run that speaks least against a part: one whose episode others show, one that is contradicted, or the oldest. */
    private fun leastTelling(entry: Entry): BackEndRun {
        val open = entry.openRuns.sortedWith(compareBy({ crashedAt.getValue(it) }, { it.target.text }))
        val repeated = open - episodeStarts(open) { crashedAt.getValue(it) }.toSet()
        val runs = entry.contradictedByRun.keys
        return repeated.maxByOrNull { it.target.text } ?: (runs - open.toSet()).ifEmpty { runs }.minBy { crashedAt.getValue(it) }
    }

    fun report(now: Duration): EvidenceReport =
        EvidenceReport(
            crashedAt.mapValues { now - it.value },
            entries.map { (part, entry) ->
                PartReport(
                    part,
                    entry.contradictedByRun.keys.toSet(),
                    entry.contradictedByRun.filterValues { it }.keys,
                    entry.probedAt?.let { now - it },
                    entry.wasAnswered,
                )
            },
        )

    /** Removes what is too old to count. */
    fun expire(now: Duration) {
        if (entries.isEmpty()) return
        val accused = suspicions.filter { it.isAccusation }.flatMapTo(mutableSetOf()) { it.parts }
        entries.entries.removeIf { (part, entry) -> !isKept(entry, part in accused, now) }
        for (entry in entries.values) if (entry.probedAt?.let { now - it >= PROBE_TIMEOUT } == true) entry.probedAt = null
        onChanged()
    }

    private fun onChanged() {
        if (entries.size > MAX_PARTS) {
            val kept = entries.entries.sortedWith(compareBy({ -it.value.openRuns.size }, { it.key.text })).take(MAX_PARTS)
            entries.keys.retainAll(kept.mapTo(mutableSetOf()) { it.key })
        }
        crashedAt.keys.retainAll(entries.values.flatMapTo(mutableSetOf()) { it.contradictedByRun.keys })
        isSummaryCurrent = false
    }

    private fun currentSummary(): Summary {
        if (!isSummaryCurrent) {
            val digest = entries.entries.sumOf { (part, entry) -> digestOf(part, entry) }
            val crashes = entries.map { (part, entry) -> PartCrashes(part, entry.openRuns, entry.wasAnswered) }
            summary = Summary(suspicionsOf(crashes, crashedAt), digest)
            isSummaryCurrent = true
        }
        return summary
    }

    private fun isKept(
        entry: Entry,
        isAccused: Boolean,
        now: Duration,
    ): Boolean {
        val newest = entry.contradictedByRun.keys.maxOfOrNull { crashedAt.getValue(it) } ?: return false
        return now - newest < if (isAccused && entry.openRuns.isNotEmpty()) ACCUSATION_LIFETIME else EVIDENCE_LIFETIME
    }

    private fun isFresh(
        crashAt: Duration,
        now: Duration,
    ) = now - crashAt < ACCUSATION_LIFETIME

    private fun digestOf(
        part: PromptPartId,
        entry: Entry,
    ): Long {
        val runs = entry.contradictedByRun.entries.sumOf { (run, contradicted) -> mix(run.hashCode() * 2L + if (contradicted) 1 else 0) }
        val flags = (if (entry.probedAt == null) 0 else 1) + if (entry.wasAnswered) 2 else 0
        return mix(part.hashCode() + runs + flags)
    }

    /** Spreads [value] over all bits, so that sums of the results rarely collide. */
    private fun mix(value: Long): Long {
        val product = value * MULTIPLIER
        return (product xor (product ushr 29)) * MULTIPLIER
    }

    private companion object {
        const val MAX_PARTS = 256
        const val MAX_ANSWERED_PARTS = 4_096

        /** Enough for the longest time that an accusation is held. */
        const val MAX_RUNS = 8
        const val MULTIPLIER = -7046029254386353131L

        /** Since its last crash, unless the part is accused. */
        val EVIDENCE_LIFETIME = 2.minutes

        /** Longer than any hold, so that a part stays accused until a probe has told about it. */
        val ACCUSATION_LIFETIME = 10.minutes
    }
}

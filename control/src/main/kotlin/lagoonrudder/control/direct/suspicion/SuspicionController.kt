/**
 * Holds back requests that would crash the back end which begins to answer them.
 *
 * A back end that closes its connections under requests that it has not begun to answer may have crashed on any part of their
 * prompts. A part that was there at several crashes, and that no answer contradicts, is accused: requests with it are refused at
 * once, wherever they come from, while all others are served. An accusation ends when one of these requests is answered. To find
 * out, a single request is let through as a probe, soon after crashes that may be one loss of back ends, and after a time that doubles
 * with each crash otherwise; all daemons know the same evidence, and one of them at a time may probe.
 */
package lagoonrudder.control.direct.suspicion

import lagoonrudder.control.DumpSection
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.BackEnd
import lagoonrudder.model.PromptPartId
import lagoonrudder.model.rendezvousFirst
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether a request may be sent. */
sealed class Verdict {
    data object Free : Verdict()

    /** The request may be sent to find out whether the parts of [suspicion] still crash back ends. */
    data class Probe(
        val suspicion: Suspicion,
    ) : Verdict()

    /** The request must not be sent; [retryAfter] is the time until a probe may have cleared it. */
    data class HeldBack(
        val reason: String,
        val retryAfter: Duration,
    ) : Verdict()
}

/** A change of what this daemon believes about parts of prompts. */
sealed class SuspicionChange {
    data class Accused(
        val suspicion: Suspicion,
    ) : SuspicionChange()

    data class Cleared(
        val parts: Set<PromptPartId>,
    ) : SuspicionChange()

    data class Probed(
        val suspicion: Suspicion,
    ) : SuspicionChange()
}

/** [onChange] runs after each change, on the thread of the caller. */
class SuspicionController(
    private val peers: PeerController,
    private val onChange: (SuspicionChange) -> Unit = {},
) {
    private val evidence = CrashEvidence()
    private var accused = emptyList<Suspicion>()
    private var reported = emptyList<Suspicion>()
    private var nextExpiry = Duration.ZERO

    /** Equal for daemons that know the same; 0 without evidence. */
    val digest: Long get() = evidence.digest

    /** The number of accused parts. */
    val accusedParts: Int get() = evidence.suspicions.filter { it.isAccusation }.sumOf { it.parts.size }

    /** Records that [backEnd] closed the connection of a request with [parts] that it had not begun to answer. */
    fun onCrash(
        backEnd: BackEnd,
        parts: Collection<PromptPartId>,
        now: Duration,
    ) {
        if (parts.isEmpty()) return
        evidence.recordCrash(backEnd.run, parts, now)
    }

    /** Records that an answer to a request with [parts] went on past its start. */
    fun onAnswered(
        parts: Collection<PromptPartId>,
        now: Duration,
    ) {
        evidence.recordAnswer(parts, now)
        reportChanges()
    }

    /** Adds what a peer knows. */
    fun onGossipReceived(
        report: EvidenceReport,
        now: Duration,
    ) {
        evidence.merge(report, now)
        reportChanges()
    }

    /** Removes evidence that is too old; called periodically. */
    fun onTick(now: Duration) {
        if (now < nextExpiry) return
        nextExpiry = now + EXPIRY_INTERVAL
        evidence.expire(now)
        reportChanges()
    }

    /** Returns what this daemon knows, for its peers. */
    fun report(now: Duration): EvidenceReport = evidence.report(now)

    /** Decides about a request with [parts]. [mayHaveRun] is set if an earlier attempt of it was cut. */
    fun verdict(
        parts: Set<PromptPartId>,
        mayHaveRun: Boolean,
        now: Duration,
    ): Verdict {
        reportChanges()
        val suspicion = evidence.suspicions.firstOrNull { parts.containsAll(it.parts) } ?: return Verdict.Free
        return when {
            suspicion.isAccusation -> if (mayProbe(suspicion, now)) Verdict.Probe(suspicion) else heldBack(suspicion, now)
            mayHaveRun -> heldBack(suspicion, now)
            else -> Verdict.Free
        }
    }

    /** Records that a request was sent as a probe. */
    fun onProbeSent(
        suspicion: Suspicion,
        now: Duration,
    ) {
        evidence.recordProbe(suspicion.parts, now)
        onChange(SuspicionChange.Probed(suspicion))
    }

    private fun mayProbe(
        suspicion: Suspicion,
        now: Duration,
    ): Boolean {
        val sinceHold = now - suspicion.heldUntil
        if (sinceHold < Duration.ZERO || evidence.probedAt(suspicion.parts) != null) return false
        val turn = (sinceHold / PROBE_TURN).toLong()
        // Nobody probes at the start of a turn, so that all daemons know of a probe that was sent at the end of the last one.
        if (sinceHold - PROBE_TURN * turn.toDouble() < SETTLING_TIME) return false
        val key = suspicion.parts.minOf { it.text } + "/" + turn
        return rendezvousFirst(key, peers.liveEntries(now)) { it.daemon.text }?.daemon == peers.self.daemon
    }

    private fun heldBack(
        suspicion: Suspicion,
        now: Duration,
    ): Verdict {
        val probedAt = evidence.probedAt(suspicion.parts)
        val wait =
            when {
                now < suspicion.heldUntil -> suspicion.heldUntil - now
                probedAt != null -> probedAt + PROBE_TIMEOUT - now
                else -> PROBE_TURN
            }
        return Verdict.HeldBack(suspicion.describe(now), wait.coerceAtLeast(MIN_RETRY_AFTER))
    }

    private fun reportChanges() {
        val suspicions = evidence.suspicions
        if (suspicions === reported) return
        reported = suspicions
        val before = accused
        accused = suspicions.filter { it.isAccusation }
        val known = before.flatMapTo(mutableSetOf()) { it.parts }
        val current = accused.flatMapTo(mutableSetOf()) { it.parts }
        accused.filter { !known.containsAll(it.parts) }.forEach { onChange(SuspicionChange.Accused(it)) }
        val cleared = known - current
        if (cleared.isNotEmpty()) onChange(SuspicionChange.Cleared(cleared))
    }

    fun dump(now: Duration): DumpSection =
        dumpSection("suspicions") {
            entry("parts", evidence.partCount)
            for (suspicion in evidence.suspicions) entry(suspicion.name, suspicion.describe(now))
        }

    private companion object {
        /** A daemon may probe for this long before it is the turn of another one, which may get more such requests. */
        val PROBE_TURN = 4.seconds

        val MIN_RETRY_AFTER = 1.seconds
        val EXPIRY_INTERVAL = 1.seconds
    }
}

/**
 * Decides at a target daemon whether a request that may run at most once may run now.
 *
 * All requests of one key go to one owner, which the published object set alone names. The owner remembers the keys it
 * ran for [IdempotencyPolicy.retention]. What it can't remember it must not run: keys that may have been run before this process
 * started, or before the key became this target's, are answered as uncertain. A key that carries its time of issue (a
 * version 7 UUID) proves that it is younger than that; other keys wait until the memory is old enough.
 */
package lagoonrudder.control

import lagoonrudder.model.Digest
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Refusal
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.model.rendezvousFirst
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * [retention] is how long a key is remembered and the longest age of a key that may run; [clockSkew] bounds the difference
 * between clocks; [propagationDelay] bounds the time a published set takes to reach all; [permitTtl] bounds how long a reservation
 * is good for; [maxKeys] bounds the keys and [maxResponseBytes] the answers in memory.
 */
data class IdempotencyPolicy(
    val retention: Duration = 10.minutes,
    val clockSkew: Duration = 5.seconds,
    val propagationDelay: Duration = 10.seconds,
    val permitTtl: Duration = 2.seconds,
    val maxKeys: Int = 100_000,
    val maxResponseBytes: Long = 8_000_000,
)

/** The answer of a run, kept for repeats of its key. */
class RecordedResponse(
    val status: Int,
    val contentType: String,
    val body: ByteArray,
)

sealed class IdempotencyDecision {
    /** The request may run when it comes with [permit] before the permit ends. */
    data class Permitted(
        val permit: Long,
    ) : IdempotencyDecision()

    /** The request ran before; [response] is what it answered, or null when that is no longer held. */
    data class AlreadyRan(
        val response: RecordedResponse?,
    ) : IdempotencyDecision()

    /** It runs at this moment, or it may have run before this process could know. */
    data class Uncertain(
        val detail: String,
    ) : IdempotencyDecision()

    data class Refused(
        val refusal: Refusal,
    ) : IdempotencyDecision()

    /** The key lately belonged to [owners]: it may run here once each of them has surrendered it unseen. */
    data class QueryPreviousOwners(
        val owners: List<TargetId>,
    ) : IdempotencyDecision()
}

/** What an earlier owner says when it gives a key up. It will not run the key while another target owns it. */
sealed class SurrenderResult {
    data object Released : SurrenderResult()

    data class AlreadyRan(
        val response: RecordedResponse?,
    ) : SurrenderResult()

    data class Uncertain(
        val detail: String,
    ) : SurrenderResult()
}

sealed class RunDecision {
    data object Run : RunDecision()

    /** The permit is unknown, used or too old: the request doesn't run. */
    data class Refused(
        val refusal: Refusal,
    ) : RunDecision()
}

class IdempotencyController(
    private val self: TargetId,
    private val policy: IdempotencyPolicy,
    private val invariants: Invariants,
    startedAt: Instant,
    startedElapsed: Duration,
) {
    private sealed class KeyState {
        data object Open : KeyState()

        data class Permitted(
            val permit: Long,
            val until: Duration,
        ) : KeyState()

        data object Running : KeyState()

        /** Another target has owned the key since and was told that it had not run here. */
        data object Surrendered : KeyState()

        /** It was started and its end is not known. */
        data object Lost : KeyState()

        data class Ended(
            val response: RecordedResponse?,
        ) : KeyState()
    }

    private class Entry(
        val body: Digest,
        var state: KeyState,
        var touched: Duration,
        var runs: Int = 0,
    )

    /** From [sinceInstant] on this target has owned the keys that it owns under [targets]. */
    private class Ownership(
        val targets: List<TargetId>,
        val sinceInstant: Instant,
        val sinceElapsed: Duration,
    )

    private val entries = LinkedHashMap<IdempotencyKey, Entry>()
    private val history = ArrayDeque<Ownership>()
    private val start = Ownership(emptyList(), startedAt, startedElapsed)
    private var nextPermit = 1L
    private var answerBytes = 0L

    /** Notes the targets in service of this target's fleet under a set that came into force now. */
    fun configure(
        targets: List<TargetId>,
        now: Duration,
        date: Instant,
    ) {
        if (history.lastOrNull()?.targets == targets) return
        history.addLast(Ownership(targets, date, now))
        while (history.size > 1 && now - history[1].sinceElapsed > policy.retention + policy.propagationDelay) history.removeFirst()
    }

    /**
     * Decides on a request with [key] and [body]; nothing runs before [beginRun]. [cleared] are earlier owners that have
     * surrendered the key unseen.
     */
    fun reserve(
        key: IdempotencyKey,
        body: Digest,
        now: Duration,
        date: Instant,
        cleared: Set<TargetId> = emptySet(),
    ): IdempotencyDecision {
        forgetOld(now)
        val known = entries[key]?.takeUnless { it.state is KeyState.Surrendered }
        if (known != null) return repeat(known, body, now)
        refusalForNew(key, date)?.let { return it }
        unsafeReason(key, now, date)?.let { return IdempotencyDecision.Uncertain(it) }
        val owners = earlierOwners(key, now) - cleared
        if (owners.isNotEmpty()) return IdempotencyDecision.QueryPreviousOwners(owners)
        val entry = Entry(body, KeyState.Open, now)
        entries[key] = entry
        return permit(entry, now)
    }

    /** Gives [key] up to its new owner. A permit that is still out becomes void; a run that began is told. */
    fun surrender(
        key: IdempotencyKey,
        now: Duration,
        date: Instant,
    ): SurrenderResult {
        val entry = entries.getOrPut(key) { Entry(NO_BODY, KeyState.Open, now) }
        return when (val state = entry.state) {
            KeyState.Open, is KeyState.Permitted, KeyState.Surrendered -> giveUp(entry, key, now, date)
            KeyState.Running -> SurrenderResult.Uncertain("the request with this key is running at its earlier owner")
            KeyState.Lost -> SurrenderResult.Uncertain("the request with this key was started at its earlier owner and its end is not known")
            is KeyState.Ended -> SurrenderResult.AlreadyRan(state.response)
        }
    }

    /** Starts the run of [key] if [permit] is the one given out last and still good. */
    fun beginRun(
        key: IdempotencyKey,
        permit: Long,
        now: Duration,
    ): RunDecision {
        val entry = entries[key]
        val state = entry?.state
        val good = state is KeyState.Permitted && state.permit == permit && now < state.until
        if (entry == null || !good) return RunDecision.Refused(Refusal.TooLate(PERMIT_RETRY))
        entry.state = KeyState.Running
        entry.touched = now
        entry.runs++
        invariants.check(entry.runs == 1, Invariant.AT_MOST_ONCE, Step.GUARD_REPEATS) { "key=${key.text} runs=${entry.runs}" }
        return RunDecision.Run
    }

    /** The run of [key] ended with [response]. */
    fun onRunEnded(
        key: IdempotencyKey,
        response: RecordedResponse,
        now: Duration,
    ) {
        val entry = entries[key] ?: return
        val held = response.takeIf { answerBytes + it.body.size <= policy.maxResponseBytes }
        answerBytes += held?.body?.size ?: 0
        entry.state = KeyState.Ended(held)
        entry.touched = now
    }

    /** The run of [key] proved not to have reached the back end: the key may run later. */
    fun onNotRun(key: IdempotencyKey) {
        val entry = entries[key] ?: return
        entry.runs = 0
        entry.state = KeyState.Open
    }

    /** The run of [key] broke and may have happened. */
    fun onRunLost(
        key: IdempotencyKey,
        now: Duration,
    ) {
        val entry = entries[key] ?: return
        entry.state = KeyState.Lost
        entry.touched = now
    }

    fun dump(): DumpSection =
        dumpSection("repeats") {
            entry("keys", entries.size)
            entry("running", entries.values.count { it.state is KeyState.Running })
            entry("lost", entries.values.count { it.state is KeyState.Lost })
            entry("answer-bytes", answerBytes)
            entry("ownerships", history.size)
            entry("started", start.sinceInstant)
        }

    private fun repeat(
        known: Entry,
        body: Digest,
        now: Duration,
    ): IdempotencyDecision {
        if (known.body != body) return IdempotencyDecision.Refused(Refusal.Invalid("a key of its own: this key came with another body"))
        return when (val state = known.state) {
            KeyState.Open, is KeyState.Permitted, KeyState.Surrendered -> permit(known, now)
            KeyState.Running -> IdempotencyDecision.Uncertain("the request with this key is running")
            KeyState.Lost -> IdempotencyDecision.Uncertain("the request with this key was started and its end is not known")
            is KeyState.Ended -> IdempotencyDecision.AlreadyRan(state.response)
        }
    }

    private fun permit(
        entry: Entry,
        now: Duration,
    ): IdempotencyDecision {
        val permit = nextPermit++
        entry.state = KeyState.Permitted(permit, now + policy.permitTtl)
        entry.touched = now
        return IdempotencyDecision.Permitted(permit)
    }

    private fun refusalForNew(
        key: IdempotencyKey,
        date: Instant,
    ): IdempotencyDecision? {
        val owned = history.lastOrNull()?.let { ownerOf(key, it.targets) } == self
        val issued = issueTime(key)
        val refusal =
            when {
                !owned -> Refusal.NotServing(PERMIT_RETRY, "another target owns this key")
                issued != null && issued > date + policy.clockSkew -> Refusal.Invalid("a key that was not issued in the future")
                entries.size >= policy.maxKeys -> Refusal.Overloaded(PERMIT_RETRY)
                else -> null
            }
        return refusal?.let { IdempotencyDecision.Refused(it) }
    }

    private fun giveUp(
        entry: Entry,
        key: IdempotencyKey,
        now: Duration,
        date: Instant,
    ): SurrenderResult {
        val owned = history.lastOrNull()?.let { ownerOf(key, it.targets) } == self
        if (owned) return SurrenderResult.Uncertain("the earlier owner still takes the key for its own")
        entry.state = KeyState.Surrendered
        entry.touched = now
        return unsafeReason(key, now, date)?.let { SurrenderResult.Uncertain(it) } ?: SurrenderResult.Released
    }

    /** Why a key that isn't in memory may have run in an earlier life of this process, or null when it can't have. */
    private fun unsafeReason(
        key: IdempotencyKey,
        now: Duration,
        date: Instant,
    ): String? {
        val issued = issueTime(key)
        if (issued != null && issued < date - policy.retention + policy.clockSkew) return "the key is older than the memory of keys"
        val safe = isYounger(issued, start, Duration.ZERO, now)
        return if (safe) null else "the key may have run before this process could remember it"
    }

    /** The targets that owned [key] while it may already have been sent, before it became this target's. */
    private fun earlierOwners(
        key: IdempotencyKey,
        now: Duration,
    ): List<TargetId> {
        val issued = issueTime(key)
        val moves =
            history.indices.drop(1).filter {
                becameOwner(key, it, history[it]) &&
                    !isYounger(issued, history[it], policy.propagationDelay, now)
            }
        return moves.mapNotNull { ownerOf(key, history[it - 1].targets) }.distinct()
    }

    private fun becameOwner(
        key: IdempotencyKey,
        index: Int,
        ownership: Ownership,
    ): Boolean = ownerOf(key, ownership.targets) == self && ownerOf(key, history[index - 1].targets) != self

    private fun isYounger(
        issued: Instant?,
        bound: Ownership,
        propagationDelay: Duration,
        now: Duration,
    ): Boolean =
        if (issued != null) {
            issued > bound.sinceInstant + policy.clockSkew + propagationDelay
        } else {
            now - bound.sinceElapsed > policy.retention + propagationDelay
        }

    private fun forgetOld(now: Duration) {
        val iterator = entries.entries.iterator()
        var looked = 0
        while (iterator.hasNext() && looked < FORGET_STEPS) {
            looked++
            val entry = iterator.next().value
            if (now - entry.touched <= policy.retention + policy.clockSkew * 2) break
            if (entry.state is KeyState.Running) continue
            answerBytes -= (entry.state as? KeyState.Ended)?.response?.body?.size ?: 0
            iterator.remove()
        }
    }

    private companion object {
        const val FORGET_STEPS = 64
        val NO_BODY = Digest("")
        val PERMIT_RETRY = 500.milliseconds
    }
}

/** The targets of [fleet] that operators have in service: the candidates for the ownership of keys. */
fun keyOwners(
    objects: ObjectSet,
    fleet: OperatorObject.Fleet,
): List<TargetId> =
    objects.targetsOf[fleet.id]
        .orEmpty()
        .filter(objects::inService)
        .map { it.id }

/** The owner of [key] among [targets]; the same in every process that has the same set in force. */
fun ownerOf(
    key: IdempotencyKey,
    targets: List<TargetId>,
): TargetId? = rendezvousFirst(key.text, targets) { it.text }

private const val VERSION_7_PATTERN = "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
private val version7 = Regex(VERSION_7_PATTERN)
private const val TIME_DIGITS = 12
private const val HEXADECIMAL = 16

/** The time at which [key] was issued when it is a version 7 UUID, otherwise null. */
fun issueTime(key: IdempotencyKey): Instant? {
    val text = key.text.lowercase()
    if (!text.matches(version7)) return null
    val milliseconds = text.replace("-", "").take(TIME_DIGITS).toLong(HEXADECIMAL)
    return Instant.fromEpochMilliseconds(milliseconds)
}

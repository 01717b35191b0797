/**
 * Ensures at a target daemon that a request with an idempotency key runs at most once.
 *
 * All requests of one key go to one owner, which depends only on the published object set. The owner remembers the keys
 * that it ran for [IdempotencyPolicy.retention]. It never runs a key whose history it can't know: a key that may have run
 * before this process started, or before this target became its owner, is reported as uncertain. A key that carries its
 * time of issue (a version 7 UUID) proves that it is newer than that; any other key has to wait until this process has
 * been recording keys for the full retention time.
 */
package lagoonrudder.control

import lagoonrudder.model.Digest
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Refusal
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.model.rendezvousFirst
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The bounds on which the at-most-once guarantee rests.
 *
 * [retention] is how long a key is remembered, and the maximum age of a key that may run. [clockSkew] bounds the difference
 * between clocks. [propagationDelay] bounds the time that a published set takes to reach all processes. [permitTtl] is how
 * long a permit is valid. [maxKeys] bounds the keys and [maxResponseBytes] the recorded responses in memory.
 */
data class IdempotencyPolicy(
    val retention: Duration = 10.minutes,
    val clockSkew: Duration = 5.seconds,
    val propagationDelay: Duration = 10.seconds,
    val permitTtl: Duration = 2.seconds,
    val maxKeys: Int = 100_000,
    val maxResponseBytes: Long = 8_000_000,
)

/** The response of a run, recorded for retries with the same key. */
class RecordedResponse(
    val status: Int,
    val contentType: String,
    val body: ByteArray,
)

sealed class IdempotencyDecision {
    /** The request may run if it arrives with [permit] before the permit expires. */
    data class Permitted(
        val permit: Long,
    ) : IdempotencyDecision()

    /** The request already ran; [response] is its recorded response, or null if that is not retained. */
    data class AlreadyRan(
        val response: RecordedResponse?,
    ) : IdempotencyDecision()

    /** The request is running, or it may have run at a time for which this process has no records. */
    data class Uncertain(
        val detail: String,
    ) : IdempotencyDecision()

    data class Refused(
        val refusal: Refusal,
    ) : IdempotencyDecision()

    /** The key recently belonged to [owners]; it may run here once each of them has returned [SurrenderResult.Released]. */
    data class QueryPreviousOwners(
        val owners: List<TargetId>,
    ) : IdempotencyDecision()
}

/** The reply of a previous owner that is asked to surrender a key. It won't run the key while another target owns it. */
sealed class SurrenderResult {
    /** The key has not run at the previous owner. */
    data object Released : SurrenderResult()

    /** The request ran at the previous owner; [response] is its recorded response, or null if that is not retained. */
    data class AlreadyRan(
        val response: RecordedResponse?,
    ) : SurrenderResult()

    /** The request is running at the previous owner, or may have run there. */
    data class Uncertain(
        val detail: String,
    ) : SurrenderResult()
}

sealed class RunDecision {
    data object Run : RunDecision()

    /** The permit is unknown, used or expired, so the request must not run. */
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
        data object NotStarted : KeyState()

        data class Permitted(
            val permit: Long,
            val until: Duration,
        ) : KeyState()

        data object Running : KeyState()

        /** Surrendered to another target, which was told that the key had not run here. */
        data object Surrendered : KeyState()

        /** The run was started and its outcome is unknown. */
        data object OutcomeUnknown : KeyState()

        data class Completed(
            val response: RecordedResponse?,
        ) : KeyState()
    }

    private class KeyRecord(
        val body: Digest,
        var state: KeyState,
        var updatedAt: Duration,
        var runs: Int = 0,
    )

    /** The [targets] among which keys are distributed from [sinceInstant] on, which is [sinceElapsed] in process time. */
    private class Ownership(
        val targets: List<TargetId>,
        val sinceInstant: Instant,
        val sinceElapsed: Duration,
    )

    private val records = LinkedHashMap<IdempotencyKey, KeyRecord>()
    private val history = ArrayDeque<Ownership>()
    private val processStart = Ownership(emptyList(), startedAt, startedElapsed)
    private var nextPermit = 1L
    private var retainedBytes = 0L

    /** Records the targets in service of this target's fleet, under a set that became active at [now]. */
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
     * Decides whether a request with [key] and [body] may run; nothing runs before [beginRun]. [releasedBy] are the previous
     * owners that have released the key.
     */
    fun reserve(
        key: IdempotencyKey,
        body: Digest,
        now: Duration,
        date: Instant,
        releasedBy: Set<TargetId> = emptySet(),
    ): IdempotencyDecision {
        evictExpired(now)
        val existing = records[key]?.takeUnless { it.state is KeyState.Surrendered }
        if (existing != null) return decideKnownKey(existing, body, now)
        rejectionForNewKey(key, date)?.let { return it }
        uncertaintyReason(key, now, date)?.let { return IdempotencyDecision.Uncertain(it) }
        val owners = previousOwners(key, now) - releasedBy
        if (owners.isNotEmpty()) return IdempotencyDecision.QueryPreviousOwners(owners)
        val record = KeyRecord(body, KeyState.NotStarted, now)
        records[key] = record
        return permit(record, now)
    }

    /** Surrenders [key] to its new owner. An unused permit becomes void; a run that has begun is reported. */
    fun surrender(
        key: IdempotencyKey,
        now: Duration,
        date: Instant,
    ): SurrenderResult {
        val record = records.getOrPut(key) { KeyRecord(NO_BODY, KeyState.NotStarted, now) }
        return when (val state = record.state) {
            KeyState.NotStarted, is KeyState.Permitted, KeyState.Surrendered -> releaseKey(record, key, now, date)
            KeyState.Running -> SurrenderResult.Uncertain("the request is still running at the previous owner")
            KeyState.OutcomeUnknown -> SurrenderResult.Uncertain("the request was started at the previous owner, outcome unknown")
            is KeyState.Completed -> SurrenderResult.AlreadyRan(state.response)
        }
    }

    /** Starts the run of [key] if [permit] is the latest permit of the key and has not expired. */
    fun beginRun(
        key: IdempotencyKey,
        permit: Long,
        now: Duration,
    ): RunDecision {
        val record = records[key]
        val state = record?.state
        val valid = state is KeyState.Permitted && state.permit == permit && now < state.until
        if (record == null || !valid) return RunDecision.Refused(Refusal.TooLate(RETRY_AFTER))
        record.state = KeyState.Running
        record.updatedAt = now
        record.runs++
        invariants.check(record.runs == 1, Invariant.AT_MOST_ONCE, Step.GUARD_REPEATS) { "key=${key.text} runs=${record.runs}" }
        return RunDecision.Run
    }

    /** The run of [key] completed with [response]. */
    fun onRunEnded(
        key: IdempotencyKey,
        response: RecordedResponse,
        now: Duration,
    ) {
        val record = records[key] ?: return
        val retained = response.takeIf { retainedBytes + it.body.size <= policy.maxResponseBytes }
        retainedBytes += retained?.body?.size ?: 0
        record.state = KeyState.Completed(retained)
        record.updatedAt = now
    }

    /** The run of [key] provably did not reach the back end, so the key may run later. */
    fun onNotRun(key: IdempotencyKey) {
        val record = records[key] ?: return
        record.runs = 0
        record.state = KeyState.NotStarted
    }

    /** The run of [key] was interrupted and may have taken effect. */
    fun onRunLost(
        key: IdempotencyKey,
        now: Duration,
    ) {
        val record = records[key] ?: return
        record.state = KeyState.OutcomeUnknown
        record.updatedAt = now
    }

    fun dump(): DumpSection =
        dumpSection("repeats") {
            entry("keys", records.size)
            entry("running", records.values.count { it.state is KeyState.Running })
            entry("lost", records.values.count { it.state is KeyState.OutcomeUnknown })
            entry("answer-bytes", retainedBytes)
            entry("ownerships", history.size)
            entry("started", processStart.sinceInstant)
        }

    private fun decideKnownKey(
        record: KeyRecord,
        body: Digest,
        now: Duration,
    ): IdempotencyDecision {
        if (record.body != body) return IdempotencyDecision.Refused(Refusal.Invalid("an unused key: this one came with another body"))
        return when (val state = record.state) {
            KeyState.NotStarted, is KeyState.Permitted, KeyState.Surrendered -> permit(record, now)
            KeyState.Running -> IdempotencyDecision.Uncertain("the request with this key is still running")
            KeyState.OutcomeUnknown -> IdempotencyDecision.Uncertain("the request with this key was started, outcome unknown")
            is KeyState.Completed -> IdempotencyDecision.AlreadyRan(state.response)
        }
    }

    private fun permit(
        record: KeyRecord,
        now: Duration,
    ): IdempotencyDecision {
        val permit = nextPermit++
        record.state = KeyState.Permitted(permit, now + policy.permitTtl)
        record.updatedAt = now
        return IdempotencyDecision.Permitted(permit)
    }

    private fun rejectionForNewKey(
        key: IdempotencyKey,
        date: Instant,
    ): IdempotencyDecision? {
        val owned = history.lastOrNull()?.let { ownerOf(key, it.targets) } == self
        val issued = issueTime(key)
        val refusal =
            when {
                !owned -> Refusal.NotServing(RETRY_AFTER, "another target owns this idempotency key")
                issued != null && issued > date + policy.clockSkew -> Refusal.Invalid("a key that was not issued in the future")
                records.size >= policy.maxKeys -> Refusal.Overloaded(RETRY_AFTER)
                else -> null
            }
        return refusal?.let { IdempotencyDecision.Refused(it) }
    }

    private fun releaseKey(
        record: KeyRecord,
        key: IdempotencyKey,
        now: Duration,
        date: Instant,
    ): SurrenderResult {
        val owned = history.lastOrNull()?.let { ownerOf(key, it.targets) } == self
        if (owned) return SurrenderResult.Uncertain("the previous owner of the key has not yet received the change of ownership")
        record.state = KeyState.Surrendered
        record.updatedAt = now
        return uncertaintyReason(key, now, date)?.let { SurrenderResult.Uncertain(it) } ?: SurrenderResult.Released
    }

    /** Returns why a key without a record may have run in an earlier run of this process, or null if it can't have. */
    private fun uncertaintyReason(
        key: IdempotencyKey,
        now: Duration,
        date: Instant,
    ): String? {
        val issued = issueTime(key)
        if (issued != null && issued < date - policy.retention + policy.clockSkew) return "the key is older than the retention time"
        val newer = isNewer(issued, processStart, Duration.ZERO, now)
        return if (newer) null else "the request may have run before this process started to record keys"
    }

    /** Returns the targets that owned [key] before this target did, at a time when it may already have been sent. */
    private fun previousOwners(
        key: IdempotencyKey,
        now: Duration,
    ): List<TargetId> {
        val issued = issueTime(key)
        val transfers =
            history.indices.drop(1).filter {
                becameOwner(key, it, history[it]) &&
                    !isNewer(issued, history[it], policy.propagationDelay, now)
            }
        return transfers.mapNotNull { ownerOf(key, history[it - 1].targets) }.distinct()
    }

    private fun becameOwner(
        key: IdempotencyKey,
        index: Int,
        ownership: Ownership,
    ): Boolean = ownerOf(key, ownership.targets) == self && ownerOf(key, history[index - 1].targets) != self

    private fun isNewer(
        issued: Instant?,
        reference: Ownership,
        propagationDelay: Duration,
        now: Duration,
    ): Boolean =
        if (issued != null) {
            issued > reference.sinceInstant + policy.clockSkew + propagationDelay
        } else {
            now - reference.sinceElapsed > policy.retention + propagationDelay
        }

    private fun evictExpired(now: Duration) {
        val iterator = records.entries.iterator()
        var checked = 0
        while (iterator.hasNext() && checked < MAX_EVICTION_CHECKS) {
            checked++
            val record = iterator.next().value
            if (now - record.updatedAt <= policy.retention + policy.clockSkew * 2) break
            if (record.state is KeyState.Running) continue
            retainedBytes -= (record.state as? KeyState.Completed)?.response?.body?.size ?: 0
            iterator.remove()
        }
    }

    private companion object {
        const val MAX_EVICTION_CHECKS = 64
        val NO_BODY = Digest("")
        val RETRY_AFTER = 500.milliseconds
    }
}

/** Returns the targets of [fleet] that are in service, which are the candidates for the ownership of keys. */
fun keyOwners(
    objects: ObjectSet,
    fleet: OperatorObject.Fleet,
): List<TargetId> =
    objects.targetsOf[fleet.id]
        .orEmpty()
        .filter(objects::inService)
        .map { it.id }

/** Returns the owner of [key] among [targets], which is the same in every process with the same active set. */
fun ownerOf(
    key: IdempotencyKey,
    targets: List<TargetId>,
): TargetId? = rendezvousFirst(key.text, targets) { it.text }

private const val VERSION_7_PATTERN = "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
private val version7 = Regex(VERSION_7_PATTERN)
private const val TIME_DIGITS = 12
private const val HEXADECIMAL = 16

/** Returns the time at which [key] was issued if it is a version 7 UUID, or null otherwise. */
fun issueTime(key: IdempotencyKey): Instant? {
    val text = key.text.lowercase()
    if (!text.matches(version7)) return null
    val milliseconds = text.replace("-", "").take(TIME_DIGITS).toLong(HEXADECIMAL)
    return Instant.fromEpochMilliseconds(milliseconds)
}

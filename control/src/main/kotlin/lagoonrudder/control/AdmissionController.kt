/**
 * Decides at an entry daemon who waits, who goes next and who is turned away.
 *
 * Requests wait in one line for each fleet, or for the owner of their key. What waits is bounded by count and bytes, and
 * one customer may fill half of that. Within a customer the highest priority goes first; customers share by weight, so
 * that a burst of one lengthens only its own wait. A request that can't end before its deadline is refused early, with
 * the time after which a repeat may succeed.
 */
package lagoonrudder.control

import lagoonrudder.model.CustomerId
import lagoonrudder.model.FleetId
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The order in which waiting requests go. */
sealed class QueuePolicy {
    /** One line in order of arrival, without priorities, weights or early refusals: the baseline. */
    data object ArrivalOrder : QueuePolicy()

    data object WeightedFair : QueuePolicy()
}

/** [requests] and [bytes] bound what waits in this process. */
data class QueueBounds(
    val requests: Int = 2_000,
    val bytes: Long = 16_000_000,
)

/** A request as the queue sees it. [cost] is its expected work in tokens, [deadline] is process time. */
data class QueuedRequest(
    val id: RequestId,
    val line: QueueKey,
    val customer: CustomerId,
    val weight: Int,
    val priority: Int,
    val cost: Long,
    val bytes: Long,
    val deadline: Duration,
)

/** What a request waits for: any target of [fleet], or only [owner]. */
data class QueueKey(
    val fleet: FleetId,
    val owner: TargetId?,
)

sealed class QueueDecision {
    data object Queued : QueueDecision()

    data class Refused(
        val refusal: Refusal,
    ) : QueueDecision()
}

class AdmissionController(
    private val policy: QueuePolicy,
    private val bounds: QueueBounds,
    private val invariants: Invariants,
) {
    private val lines = mutableMapOf<QueueKey, RequestQueue>()
    private val held = mutableMapOf<CustomerId, Held>()
    private var requests = 0
    private var bytes = 0L
    private var refused = 0L
    private var expired = 0L

    /** What one customer has waiting in all lines. */
    private class Held(
        var requests: Int = 0,
        var bytes: Long = 0,
    )

    /** Lets [waiting] into its line or refuses it. */
    fun enqueue(
        waiting: QueuedRequest,
        now: Duration,
    ): QueueDecision {
        refusalFor(waiting, now)?.let {
            refused++
            return QueueDecision.Refused(it)
        }
        add(waiting, again = false)
        val withinBound = requests <= bounds.requests && bytes <= bounds.bytes
        invariants.check(withinBound, Invariant.QUEUE_WITHIN_BOUND, Step.ADMIT) { "requests=$requests bytes=$bytes" }
        return QueueDecision.Queued
    }

    /** Puts a request that a target turned away back to the head of its line. */
    fun requeue(waiting: QueuedRequest) = add(waiting, again = true)

    /** The request that goes next in [key], or null when none waits. It stays in the line until it is taken or removed. */
    fun peek(key: QueueKey): QueuedRequest? = lines[key]?.peek(policy)

    /** Takes [waiting] out of its line because it goes to a target; its customer is charged for it. */
    fun take(waiting: QueuedRequest): Boolean = release(waiting, lines[waiting.line]?.take(waiting))

    /** Takes [waiting] out of its line because it does not go: it is late or its caller has gone. */
    fun remove(waiting: QueuedRequest): Boolean = release(waiting, lines[waiting.line]?.remove(waiting))

    /** Takes out the requests that can't end before their deadline any more. */
    fun expire(now: Duration): List<QueuedRequest> {
        if (requests == 0) return emptyList()
        val late = lines.values.flatMap { it.late(policy, now) }
        late.forEach(::remove)
        expired += late.size
        return late
    }

    /** Learns from a request of [waiting]'s line that ended after [service] at its target, for the forecast of waits. */
    fun onRequestCompleted(
        waiting: QueuedRequest,
        service: Duration,
        now: Duration,
    ) = lineOf(waiting.line).learn(waiting, service, now)

    /** The lines in which someone waits. */
    fun nonEmptyQueues(): List<QueueKey> = lines.filterValues { it.size > 0 }.keys.toList()

    /** The number of requests that wait in [key]. */
    fun queueLength(key: QueueKey): Int = lines[key]?.size ?: 0

    fun dump(): DumpSection =
        dumpSection("admission") {
            entry("policy", policy)
            entry("waiting", requests)
            entry("waiting-bytes", bytes)
            entry("refused", refused)
            entry("expired", expired)
            for ((key, line) in lines) entry("line ${key.fleet.text} ${key.owner?.text ?: "any"}", line.describe())
        }

    private fun refusalFor(
        waiting: QueuedRequest,
        now: Duration,
    ): Refusal? {
        val line = lineOf(waiting.line)
        val wait = line.forecast(waiting, now)
        val end = now + wait + line.serviceTime(waiting, now)
        return when {
            isFull(waiting) -> Refusal.Overloaded(retryAfter(wait))
            policy is QueuePolicy.WeightedFair && end > waiting.deadline -> Refusal.TooLate(retryAfter(wait))
            else -> null
        }
    }

    /** One customer may fill half of the bounds, so that it can't shut the others out. */
    private fun isFull(waiting: QueuedRequest): Boolean {
        val own = held[waiting.customer] ?: Held()
        val all = requests >= bounds.requests || bytes + waiting.bytes > bounds.bytes
        val share = own.requests >= halfOf(bounds.requests) || own.bytes + waiting.bytes > halfOf(bounds.bytes)
        return all || (policy is QueuePolicy.WeightedFair && share)
    }

    private fun halfOf(count: Int) = (count + 1) / 2

    private fun halfOf(count: Long) = (count + 1) / 2

    private fun retryAfter(wait: Duration): Duration = wait.coerceIn(SHORTEST_RETRY, LONGEST_RETRY)

    private fun add(
        waiting: QueuedRequest,
        again: Boolean,
    ) {
        lineOf(waiting.line).add(waiting, again)
        requests++
        bytes += waiting.bytes
        val own = held.getOrPut(waiting.customer) { Held() }
        own.requests++
        own.bytes += waiting.bytes
    }

    private fun release(
        waiting: QueuedRequest,
        found: Boolean?,
    ): Boolean {
        if (found != true) return false
        requests--
        bytes -= waiting.bytes
        val own = held.getValue(waiting.customer)
        own.requests--
        own.bytes -= waiting.bytes
        if (own.requests == 0) held.remove(waiting.customer)
        return true
    }

    private fun lineOf(key: QueueKey): RequestQueue = lines.getOrPut(key) { RequestQueue() }

    private companion object {
        val SHORTEST_RETRY = 200.milliseconds
        val LONGEST_RETRY = 30.seconds
    }
}

/**
 * Controls which requests wait at an entry daemon, in which order they are sent, and which are rejected.
 *
 * There is one queue for each fleet, and one for each owner of idempotency keys. The queued requests are bounded by count
 * and bytes, and one customer may use half of these bounds. Within a customer the highest priority goes first. Customers
 * share by weight, so that a burst of one customer delays only its own requests. A request that can't complete before its
 * deadline is rejected early, with the time after which a retry may succeed.
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

/** The order in which queued requests are sent. */
sealed class QueuePolicy {
    /** First in, first out, without priorities, weights, customer bounds or early rejection; a baseline for comparison. */
    data object ArrivalOrder : QueuePolicy()

    /** Customers share by weight; a higher priority gives a bounded advance. */
    data object WeightedFair : QueuePolicy()
}

/** Bounds on all requests that are queued in this process: their count and the sum of their [bytes]. */
data class QueueBounds(
    val requests: Int = 2_000,
    val bytes: Long = 16_000_000,
)

/**
 * A request in a queue. [cost] is its expected work in tokens, [bytes] the memory that it occupies while it waits, and
 * [deadline] is in elapsed time of this process.
 */
data class QueuedRequest(
    val id: RequestId,
    val queueKey: QueueKey,
    val customer: CustomerId,
    val weight: Int,
    val priority: Int,
    val cost: Long,
    val bytes: Long,
    val deadline: Duration,
)

/** Identifies a queue by what its requests wait for: any target of [fleet], or only [owner]. */
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
    private val queues = mutableMapOf<QueueKey, RequestQueue>()
    private val usageByCustomer = mutableMapOf<CustomerId, Usage>()
    private var requests = 0
    private var bytes = 0L
    private var refused = 0L
    private var expired = 0L

    /** What one customer has queued in all queues. */
    private class Usage(
        var requests: Int = 0,
        var bytes: Long = 0,
    )

    /** Adds [request] to its queue or rejects it. */
    fun enqueue(
        request: QueuedRequest,
        now: Duration,
    ): QueueDecision {
        refusalFor(request, now)?.let {
            refused++
            return QueueDecision.Refused(it)
        }
        add(request, atHead = false)
        val withinBound = requests <= bounds.requests && bytes <= bounds.bytes
        invariants.check(withinBound, Invariant.QUEUE_WITHIN_BOUND, Step.ADMIT) { "requests=$requests bytes=$bytes" }
        return QueueDecision.Queued
    }

    /** Puts a request that a target rejected back at the head of its queue. */
    fun requeue(request: QueuedRequest) = add(request, atHead = true)

    /** Returns the next request of queue [key] without removing it, or null if the queue is empty. */
    fun peek(key: QueueKey): QueuedRequest? = queues[key]?.peek(policy)

    /** Removes [request] because it is sent to a target, and charges its customer. Returns whether it was queued. */
    fun dequeue(request: QueuedRequest): Boolean = release(request, queues[request.queueKey]?.dequeue(request))

    /** Removes [request] because it expired or its caller disconnected. Returns whether it was queued. */
    fun remove(request: QueuedRequest): Boolean = release(request, queues[request.queueKey]?.remove(request))

    /** Removes and returns the requests that can no longer complete before their deadline. */
    fun expire(now: Duration): List<QueuedRequest> {
        if (requests == 0) return emptyList()
        val overdue = queues.values.flatMap { it.overdue(policy, now) }
        overdue.forEach(::remove)
        expired += overdue.size
        return overdue
    }

    /** Updates the forecast of [request]'s queue: the request completed after [service] at its target. */
    fun onRequestCompleted(
        request: QueuedRequest,
        service: Duration,
        now: Duration,
    ) = queueOf(request.queueKey).recordCompletion(request, service, now)

    /** Returns the keys of the queues that hold at least one request. */
    fun nonEmptyQueues(): List<QueueKey> = queues.filterValues { it.size > 0 }.keys.toList()

    /** Returns the number of requests in queue [key]. */
    fun queueLength(key: QueueKey): Int = queues[key]?.size ?: 0

    fun dump(): DumpSection =
        dumpSection("admission") {
            entry("policy", policy)
            entry("waiting", requests)
            entry("waiting-bytes", bytes)
            entry("refused", refused)
            entry("expired", expired)
            for ((key, queue) in queues) entry("line ${key.fleet.text} ${key.owner?.text ?: "any"}", queue.describe())
        }

    private fun refusalFor(
        request: QueuedRequest,
        now: Duration,
    ): Refusal? {
        val queue = queueOf(request.queueKey)
        val wait = queue.forecast(request, now)
        val end = now + wait + queue.serviceTime(request, now)
        return when {
            isFull(request) -> Refusal.Overloaded(retryAfter(wait))
            policy is QueuePolicy.WeightedFair && end > request.deadline -> Refusal.TooLate(retryAfter(wait))
            else -> null
        }
    }

    /** One customer may use half of the bounds, so that it can't starve the others. */
    private fun isFull(request: QueuedRequest): Boolean {
        val usage = usageByCustomer[request.customer] ?: Usage()
        val totalFull = requests >= bounds.requests || bytes + request.bytes > bounds.bytes
        val customerFull = usage.requests >= halfOf(bounds.requests) || usage.bytes + request.bytes > halfOf(bounds.bytes)
        return totalFull || (policy is QueuePolicy.WeightedFair && customerFull)
    }

    private fun halfOf(count: Int) = (count + 1) / 2

    private fun halfOf(count: Long) = (count + 1) / 2

    private fun retryAfter(wait: Duration): Duration = wait.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)

    private fun add(
        request: QueuedRequest,
        atHead: Boolean,
    ) {
        queueOf(request.queueKey).add(request, atHead)
        requests++
        bytes += request.bytes
        val usage = usageByCustomer.getOrPut(request.customer) { Usage() }
        usage.requests++
        usage.bytes += request.bytes
    }

    private fun release(
        request: QueuedRequest,
        removed: Boolean?,
    ): Boolean {
        if (removed != true) return false
        requests--
        bytes -= request.bytes
        val usage = usageByCustomer.getValue(request.customer)
        usage.requests--
        usage.bytes -= request.bytes
        if (usage.requests == 0) usageByCustomer.remove(request.customer)
        return true
    }

    private fun queueOf(key: QueueKey): RequestQueue = queues.getOrPut(key) { RequestQueue() }

    private companion object {
        val MIN_RETRY_AFTER = 200.milliseconds
        val MAX_RETRY_AFTER = 30.seconds
    }
}

/**
 * Matches queued requests with targets that have capacity.
 *
 * It is called on every relevant change: a request arrived or ended, a target reported, or time passed. It returns its
 * decisions and makes no callbacks.
 */
package lagoonrudder.control

import lagoonrudder.model.DomainId
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import lagoonrudder.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The outcome for a request that leaves its queue. */
sealed class DispatchResult {
    abstract val request: RequestId

    data class Sent(
        override val request: RequestId,
        val target: TargetId,
        val domain: DomainId,
    ) : DispatchResult()

    data class Refused(
        override val request: RequestId,
        val refusal: Refusal,
    ) : DispatchResult()
}

class DispatchController(
    private val admission: AdmissionController,
    private val routing: RoutingController,
) {
    private class PendingRequest(
        val routingRequest: RoutingRequest,
        val since: Duration,
    )

    private val sentAt = mutableMapOf<RequestId, Duration>()
    private val pending = mutableMapOf<RequestId, PendingRequest>()

    /** Adds a new request to its queue. */
    fun enqueue(
        request: QueuedRequest,
        routingRequest: RoutingRequest,
        now: Duration,
    ): QueueDecision {
        val decision = admission.enqueue(request, now)
        if (decision is QueueDecision.Queued) pending[request.id] = PendingRequest(routingRequest, now)
        return decision
    }

    /** Puts a request that a target rejected or lost back at the head of its queue. */
    fun requeue(
        request: QueuedRequest,
        routingRequest: RoutingRequest,
        now: Duration,
    ) {
        admission.requeue(request)
        pending[request.id] = PendingRequest(routingRequest, now)
    }

    /** Removes [request] because its caller disconnected. */
    fun withdraw(request: QueuedRequest) {
        pending.remove(request.id)
        admission.remove(request)
    }

    /** The request ended at [target]; for [blockedByCaller] of the time a slow caller blocked its response. */
    fun onRequestEnded(
        request: QueuedRequest,
        target: TargetId,
        failed: Boolean,
        blockedByCaller: Duration,
        now: Duration,
    ) {
        routing.onRequestFinished(target, failed, now)
        val since = sentAt.remove(request.id) ?: return
        if (!failed) admission.onRequestCompleted(request, (now - since - blockedByCaller).coerceAtLeast(Duration.ZERO), now)
    }

    /** Dispatches the queued requests for which a target has capacity, and rejects those that waited too long. */
    fun dispatchWaiting(now: Duration): List<DispatchResult> {
        val expired = admission.expire(now).map { refuse(it, Refusal.TooLate(RETRY)) }
        return expired + admission.nonEmptyQueues().flatMap { dispatchQueue(it, now) }
    }

    private fun dispatchQueue(
        queue: QueueKey,
        now: Duration,
    ): List<DispatchResult> {
        val dispatched = mutableListOf<DispatchResult>()
        while (true) {
            val next = admission.peek(queue) ?: return dispatched
            dispatched += decide(next, now) ?: return dispatched
        }
    }

    /** Decides on [next], the first request of its queue; null if it must keep waiting. */
    private fun decide(
        next: QueuedRequest,
        now: Duration,
    ): DispatchResult? {
        val request = pending[next.id] ?: return drop(next)
        return when (val routingDecision = routing.selectTarget(request.routingRequest, now)) {
            is RoutingDecision.Selected -> {
                pending.remove(next.id)
                admission.dequeue(next)
                sentAt[next.id] = now
                DispatchResult.Sent(next.id, routingDecision.target, routingDecision.domain)
            }
            RoutingDecision.NoCapacity -> null
            RoutingDecision.NoTarget -> if (now - request.since < NO_TARGET_TIMEOUT) null else refuse(next, Refusal.NoTarget(RETRY))
        }
    }

    private fun refuse(
        request: QueuedRequest,
        refusal: Refusal,
    ): DispatchResult {
        drop(request)
        return DispatchResult.Refused(request.id, refusal)
    }

    private fun drop(request: QueuedRequest): DispatchResult? {
        pending.remove(request.id)
        admission.remove(request)
        return null
    }

    private companion object {
        val NO_TARGET_TIMEOUT = 800.milliseconds
        val RETRY = 500.milliseconds
    }
}

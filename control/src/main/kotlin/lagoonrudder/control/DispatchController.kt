/**
 * Matches waiting requests with targets that have room.
 *
 * It is called whenever something changed: a request came, one ended, a target reported, time passed. What it decides is
 * returned, never called back.
 */
package lagoonrudder.control

import lagoonrudder.model.DomainId
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import lagoonrudder.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

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
    private class Asked(
        val need: RoutingRequest,
        val since: Duration,
    )

    private val sent = mutableMapOf<RequestId, Duration>()
    private val asked = mutableMapOf<RequestId, Asked>()

    /** Lets a new request into its line. */
    fun enqueue(
        waiting: QueuedRequest,
        need: RoutingRequest,
        now: Duration,
    ): QueueDecision {
        val decision = admission.enqueue(waiting, now)
        if (decision is QueueDecision.Queued) asked[waiting.id] = Asked(need, now)
        return decision
    }

    /** Lets a request that a target turned away or lost wait again, ahead of the others. */
    fun requeue(
        waiting: QueuedRequest,
        need: RoutingRequest,
        now: Duration,
    ) {
        admission.requeue(waiting)
        asked[waiting.id] = Asked(need, now)
    }

    /** The caller of [waiting] has gone. */
    fun withdraw(waiting: QueuedRequest) {
        asked.remove(waiting.id)
        admission.remove(waiting)
    }

    /** The request ended at [target], [heldBack] by its caller for a part of the time. */
    fun onRequestEnded(
        waiting: QueuedRequest,
        target: TargetId,
        failed: Boolean,
        heldBack: Duration,
        now: Duration,
    ) {
        routing.onRequestFinished(target, failed, now)
        val since = sent.remove(waiting.id) ?: return
        if (!failed) admission.onRequestEnded(waiting, (now - since - heldBack).coerceAtLeast(Duration.ZERO), now)
    }

    /** Sends off everyone for whom there is room and refuses those who have waited in vain. */
    fun dispatchWaiting(now: Duration): List<DispatchResult> {
        val late = admission.expire(now).map { refuse(it, Refusal.TooLate(RETRY)) }
        return late + admission.nonEmptyQueues().flatMap { pumpLine(it, now) }
    }

    private fun pumpLine(
        line: QueueKey,
        now: Duration,
    ): List<DispatchResult> {
        val dispatched = mutableListOf<DispatchResult>()
        while (true) {
            val peek = admission.peek(line) ?: return dispatched
            dispatched += decide(peek, now) ?: return dispatched
        }
    }

    /** What becomes of [peek] now; null when it must wait. */
    private fun decide(
        peek: QueuedRequest,
        now: Duration,
    ): DispatchResult? {
        val request = asked[peek.id] ?: return drop(peek)
        return when (val choice = routing.selectTarget(request.need, now)) {
            is RoutingDecision.Selected -> {
                asked.remove(peek.id)
                admission.take(peek)
                sent[peek.id] = now
                DispatchResult.Sent(peek.id, choice.target, choice.domain)
            }
            RoutingDecision.NoCapacity -> null
            RoutingDecision.NoTarget -> if (now - request.since < PATIENCE) null else refuse(peek, Refusal.NoTarget(RETRY))
        }
    }

    private fun refuse(
        waiting: QueuedRequest,
        refusal: Refusal,
    ): DispatchResult {
        drop(waiting)
        return DispatchResult.Refused(waiting.id, refusal)
    }

    private fun drop(waiting: QueuedRequest): DispatchResult? {
        asked.remove(waiting.id)
        admission.remove(waiting)
        return null
    }

    private companion object {
        val PATIENCE = 800.milliseconds
        val RETRY = 500.milliseconds
    }
}

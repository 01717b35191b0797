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

sealed class Dispatched {
    abstract val request: RequestId

    data class Go(
        override val request: RequestId,
        val target: TargetId,
        val domain: DomainId,
    ) : Dispatched()

    data class Refused(
        override val request: RequestId,
        val refusal: Refusal,
    ) : Dispatched()
}

class DispatchController(
    private val admission: AdmissionController,
    private val routing: RoutingController,
) {
    private class Asked(
        val need: Need,
        val since: Duration,
    )

    private val sent = mutableMapOf<RequestId, Duration>()
    private val asked = mutableMapOf<RequestId, Asked>()

    /** Lets a new request into its line. */
    fun enter(
        waiting: Waiting,
        need: Need,
        now: Duration,
    ): QueueDecision {
        val decision = admission.enter(waiting, now)
        if (decision is QueueDecision.Queued) asked[waiting.id] = Asked(need, now)
        return decision
    }

    /** Lets a request that a target turned away or lost wait again, ahead of the others. */
    fun reenter(
        waiting: Waiting,
        need: Need,
        now: Duration,
    ) {
        admission.reenter(waiting)
        asked[waiting.id] = Asked(need, now)
    }

    /** The caller of [waiting] has gone. */
    fun leave(waiting: Waiting) {
        asked.remove(waiting.id)
        admission.remove(waiting)
    }

    /** The request ended at [target], [heldBack] by its caller for a part of the time. */
    fun ended(
        waiting: Waiting,
        target: TargetId,
        failed: Boolean,
        heldBack: Duration,
        now: Duration,
    ) {
        routing.finished(target, failed, now)
        val since = sent.remove(waiting.id) ?: return
        if (!failed) admission.ended(waiting, (now - since - heldBack).coerceAtLeast(Duration.ZERO), now)
    }

    /** Sends off everyone for whom there is room and refuses those who have waited in vain. */
    fun pump(now: Duration): List<Dispatched> {
        val late = admission.expire(now).map { refuse(it, Refusal.TooLate(RETRY)) }
        return late + admission.waitingLines().flatMap { pumpLine(it, now) }
    }

    private fun pumpLine(
        line: QueueLine,
        now: Duration,
    ): List<Dispatched> {
        val dispatched = mutableListOf<Dispatched>()
        while (true) {
            val head = admission.head(line) ?: return dispatched
            dispatched += decide(head, now) ?: return dispatched
        }
    }

    /** What becomes of [head] now; null when it must wait. */
    private fun decide(
        head: Waiting,
        now: Duration,
    ): Dispatched? {
        val request = asked[head.id] ?: return drop(head)
        return when (val choice = routing.choose(request.need, now)) {
            is Choice.Chosen -> {
                asked.remove(head.id)
                admission.take(head)
                sent[head.id] = now
                Dispatched.Go(head.id, choice.target, choice.domain)
            }
            Choice.NoRoom -> null
            Choice.NoTarget -> if (now - request.since < PATIENCE) null else refuse(head, Refusal.NoTarget(RETRY))
        }
    }

    private fun refuse(
        waiting: Waiting,
        refusal: Refusal,
    ): Dispatched {
        drop(waiting)
        return Dispatched.Refused(waiting.id, refusal)
    }

    private fun drop(waiting: Waiting): Dispatched? {
        asked.remove(waiting.id)
        admission.remove(waiting)
        return null
    }

    private companion object {
        val PATIENCE = 800.milliseconds
        val RETRY = 500.milliseconds
    }
}

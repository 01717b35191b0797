/**
 * Lets a request wait for its turn and for a target with room.
 */
package lagoonrudder.traffic.entry

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import lagoonrudder.control.DispatchResult
import lagoonrudder.control.RoutingRequest
import lagoonrudder.control.QueueKey
import lagoonrudder.control.QueuedRequest
import lagoonrudder.control.keyOwners
import lagoonrudder.control.ownerOf
import lagoonrudder.control.prefixOf
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.Refusal
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next
import lagoonrudder.traffic.Work
import kotlin.time.Duration.Companion.seconds

class AdmissionFilter(
    private val control: EntryControl,
) : Filter<EntryCall> {
    override suspend fun handle(
        call: EntryCall,
        next: Next<EntryCall>,
    ): Outcome {
        val context = call.context
        val key = context.key.takeUnless { context.route.idempotent }
        val owner = key?.let { ownerFor(context, it) }
        if (key != null && owner == null) return Outcome.Refused(Refusal.NoTarget(RETRY), Step.CHOOSE_TARGET, Peer.SELF)
        call.ticket = ticketFor(context, owner)
        return when (val turn = awaitTurn(control, call.ticket) { enqueue(it) }) {
            is DispatchResult.Refused -> Outcome.Refused(turn.refusal, Step.ADMIT, Peer.SELF)
            is DispatchResult.Sent -> {
                call.choice = turn
                next.proceed(call)
            }
        }
    }

    private suspend fun ownerFor(
        context: RequestContext,
        key: IdempotencyKey,
    ): TargetId? {
        val set = control.thread.decide { control.configuration.current }
        return ownerOf(key, keyOwners(set.objects, context.fleet))
    }

    private fun ticketFor(
        context: RequestContext,
        owner: TargetId?,
    ): Ticket {
        val waiting =
            QueuedRequest(
                id = context.request,
                queueKey = QueueKey(context.fleet.id, owner),
                customer = context.customer.id,
                weight = context.customer.weight,
                priority = context.route.priority,
                cost = context.tokens,
                bytes = context.bytes,
                deadline = context.deadline,
            )
        val need =
            RoutingRequest(
                fleet = context.fleet.id,
                owner = owner,
                tokens = context.tokens,
                bytes = context.bytes,
                prefix = (context.work as? Work.Generate)?.let { prefixOf(it.prompt) },
                excluded = emptySet(),
            )
        return Ticket(waiting, need)
    }

    private companion object {
        val RETRY = 1.seconds
    }
}

/** Waits until the request of [ticket] may go or is refused; a caller that goes away leaves the line. */
internal suspend fun awaitTurn(
    control: EntryControl,
    ticket: Ticket,
    join: EntryControl.(Ticket) -> Deferred<DispatchResult>,
): DispatchResult {
    var turn: DispatchResult? = null
    val sleeper = control.thread.decide { control.join(ticket) }
    try {
        return sleeper.await().also { turn = it }
    } finally {
        if (turn == null) {
            withContext(NonCancellable) {
                control.thread.decide {
                    val granted = if (sleeper.isCompleted) sleeper.getCompletedOrNull() else null
                    if (granted is DispatchResult.Sent) control.ended(ticket, granted.target, failed = false) else control.withdraw(ticket)
                }
            }
        }
    }
}

@OptIn(ExperimentalCoroutinesApi::class)
private fun Deferred<DispatchResult>.getCompletedOrNull(): DispatchResult? = if (getCompletionExceptionOrNull() == null) getCompleted() else null

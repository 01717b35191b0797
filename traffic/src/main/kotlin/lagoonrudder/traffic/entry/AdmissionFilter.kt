/**
 * Queues a request until it is dispatched to a target with free capacity, or refuses it.
 */
package lagoonrudder.traffic.entry

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import lagoonrudder.control.DispatchResult
import lagoonrudder.control.QueueKey
import lagoonrudder.control.QueuedRequest
import lagoonrudder.control.RoutingRequest
import lagoonrudder.control.keyOwners
import lagoonrudder.control.ownerOf
import lagoonrudder.control.prefixOf
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.Refusal
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
        val owner = key?.let { keyOwnerOf(context, it) }
        if (key != null && owner == null) return Outcome.Refused(Refusal.NoTarget(RETRY), Step.CHOOSE_TARGET, Peer.SELF)
        call.ticket = ticketFor(context, owner)
        return when (val result = awaitDispatch(control, call.ticket) { enqueue(it) }) {
            is DispatchResult.Refused -> Outcome.Refused(result.refusal, Step.ADMIT, Peer.SELF)
            is DispatchResult.Sent -> {
                call.choice = result
                next.proceed(call)
            }
        }
    }

    private suspend fun keyOwnerOf(
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
        val queued =
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
        val routingRequest =
            RoutingRequest(
                fleet = context.fleet.id,
                owner = owner,
                tokens = context.tokens,
                bytes = context.bytes,
                prefix = (context.work as? Work.Generate)?.let { prefixOf(it.prompt) },
                excluded = emptySet(),
            )
        return Ticket(queued, routingRequest)
    }

    private companion object {
        val RETRY = 1.seconds
    }
}

/** Suspends until the request of [ticket] is dispatched or refused; cancellation removes it from its queue. */
internal suspend fun awaitDispatch(
    control: EntryControl,
    ticket: Ticket,
    join: EntryControl.(Ticket) -> Deferred<DispatchResult>,
): DispatchResult {
    var received: DispatchResult? = null
    val pending = control.thread.decide { control.join(ticket) }
    try {
        return pending.await().also { received = it }
    } finally {
        if (received == null) {
            withContext(NonCancellable) {
                control.thread.decide {
                    val result = if (pending.isCompleted) pending.getCompletedOrNull() else null
                    if (result is DispatchResult.Sent) control.release(ticket, result.target, failed = false) else control.withdraw(ticket)
                }
            }
        }
    }
}

@OptIn(ExperimentalCoroutinesApi::class)
private fun Deferred<DispatchResult>.getCompletedOrNull(): DispatchResult? =
    if (getCompletionExceptionOrNull() == null) getCompleted() else null

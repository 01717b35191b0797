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

class AdmitFilter(
    private val control: EntryControl,
) : Filter<EntryCall> {
    override suspend fun handle(
        call: EntryCall,
        next: Next<EntryCall>,
    ): Outcome {
        val identity = call.identity
        val key = identity.key.takeUnless { identity.route.idempotent }
        val owner = key?.let { ownerFor(identity, it) }
        if (key != null && owner == null) return Outcome.Refused(Refusal.NoTarget(RETRY), Step.CHOOSE_TARGET, Peer.SELF)
        call.ticket = ticketFor(identity, owner)
        return when (val turn = awaitTurn(control, call.ticket) { enqueue(it) }) {
            is DispatchResult.Refused -> Outcome.Refused(turn.refusal, Step.ADMIT, Peer.SELF)
            is DispatchResult.Sent -> {
                call.choice = turn
                next.proceed(call)
            }
        }
    }

    private suspend fun ownerFor(
        identity: Identity,
        key: IdempotencyKey,
    ): TargetId? {
        val set = control.thread.decide { control.configuration.current }
        return ownerOf(key, keyOwners(set.objects, identity.fleet))
    }

    private fun ticketFor(
        identity: Identity,
        owner: TargetId?,
    ): Ticket {
        val waiting =
            QueuedRequest(
                id = identity.request,
                queueKey = QueueKey(identity.fleet.id, owner),
                customer = identity.customer.id,
                weight = identity.customer.weight,
                priority = identity.route.priority,
                cost = identity.tokens,
                bytes = identity.bytes,
                deadline = identity.deadline,
            )
        val need =
            RoutingRequest(
                fleet = identity.fleet.id,
                owner = owner,
                tokens = identity.tokens,
                bytes = identity.bytes,
                prefix = (identity.work as? Work.Generate)?.let { prefixOf(it.prompt) },
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

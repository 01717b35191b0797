/**
 * Reserves the buffer of a response, writes the response to the caller as it arrives, and completes or visibly aborts it.
 */
package lagoonrudder.traffic.entry

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import lagoonrudder.model.Clock
import lagoonrudder.model.Failure
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Refusal
import lagoonrudder.model.Step
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next
import kotlin.time.Duration.Companion.seconds

/** Thrown by a [ResponseSink] if the caller closed its connection or the connection failed. */
class CallerDisconnected(
    cause: Throwable?,
) : Exception("the caller disconnected", cause)

class RelayFilter(
    private val control: EntryControl,
    private val clock: Clock,
    private val invariants: Invariants,
) : Filter<EntryCall> {
    override suspend fun handle(
        call: EntryCall,
        next: Next<EntryCall>,
    ): Outcome {
        val request = call.context.request
        call.relay = ResponseRelay(request, control, clock)
        if (!control.thread.decide { control.open(request, call.relay) }) return refuse(call)
        try {
            return relay(call, next)
        } catch (disconnected: CallerDisconnected) {
            return Outcome.Broken(Failure.Interrupted(Step.RELAY, callerOf(call), disconnected.message.orEmpty()))
        } finally {
            withContext(NonCancellable) { control.thread.decide { control.close(request) } }
        }
    }

    private suspend fun relay(
        call: EntryCall,
        next: Next<EntryCall>,
    ): Outcome =
        coroutineScope {
            val writer = launch { call.relay.drain(call.sink) }
            val outcome = next.proceed(call)
            call.relay.complete()
            writer.join()
            finish(call, outcome)
            outcome
        }

    private suspend fun finish(
        call: EntryCall,
        outcome: Outcome,
    ) {
        when (outcome) {
            is Outcome.Completed -> {
                val complete = outcome.length == call.relay.offset && call.relay.started
                invariants.check(complete, Invariant.WHOLE_OWN_ANSWER, Step.RELAY, callerOf(call)) {
                    "request=${call.context.request.text}"
                }
                call.sink.finish(outcome.length, call.relay.checksum)
            }
            is Outcome.Broken -> call.sink.abort(outcome.failure)
            is Outcome.Refused, is Outcome.Unknown -> Unit
        }
    }

    private suspend fun refuse(call: EntryCall): Outcome {
        control.thread.decide { control.release(call.ticket, call.choice.target, failed = false) }
        return Outcome.Refused(Refusal.Overloaded(RETRY), Step.RELAY, Peer.SELF)
    }

    private fun callerOf(call: EntryCall) = Peer(PeerRole.CALLER, call.context.customer.id.text)

    private companion object {
        val RETRY = 1.seconds
    }
}

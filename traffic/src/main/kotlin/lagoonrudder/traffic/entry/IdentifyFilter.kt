/**
 * Finds out what a request is: its route, customer, deadline and size, under the set in force.
 */
package lagoonrudder.traffic.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import lagoonrudder.control.ServingState
import lagoonrudder.control.refusal
import lagoonrudder.model.Clock
import lagoonrudder.model.FleetKind
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.Step
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next
import lagoonrudder.traffic.Work

/** Reads a caller's body as a request for text. */
fun interface GenerationDecoder {
    fun decode(body: ByteArray): Either<Refusal.Invalid, Work.Generate>
}

class IdentifyFilter(
    private val control: EntryControl,
    private val clock: Clock,
    private val decoder: GenerationDecoder,
    private val newRequest: () -> RequestId,
) : Filter<EntryCall> {
    override suspend fun handle(
        call: EntryCall,
        next: Next<EntryCall>,
    ): Outcome {
        val set = control.thread.decide { openSet() }
        val context = set.flatMap { identify(call, it) }
        return context.fold(
            { Outcome.Refused(it, Step.IDENTIFY, Peer.SELF) },
            {
                call.context = it
                next.proceed(call)
            },
        )
    }

    private fun openSet(): Either<Refusal, ObjectSnapshot> {
        val set = control.configuration.current
        val now = clock.elapsed()
        val confirmed = control.configuration.mayServe(now) && !control.service.wasPaused(now)
        return when (val state = control.service.state(set.objects, confirmed)) {
            ServingState.Serving -> set.right()
            is ServingState.Unavailable -> state.refusal().left()
        }
    }

    private fun identify(
        call: EntryCall,
        set: ObjectSnapshot,
    ): Either<Refusal, RequestContext> =
        either {
            val route = set.objects.routeFor(call.caller.path) ?: raise(Refusal.UnknownRoute)
            val customer = set.objects.customersByToken[call.caller.token] ?: raise(Refusal.UnknownCustomer)
            val fleet = set.objects.fleets[route.fleet] ?: raise(Refusal.UnknownRoute)
            val work = workOf(call.caller, fleet).bind()
            RequestContext(
                request = newRequest(),
                route = route,
                fleet = fleet,
                customer = customer,
                revision = set.revision,
                work = work,
                key = call.caller.key,
                deadline = call.receivedAt + route.deadline,
                tokens = tokensOf(work),
                bytes = call.caller.body.size + answerBytes(work),
            )
        }

    private fun workOf(
        caller: CallerRequest,
        fleet: OperatorObject.Fleet,
    ): Either<Refusal, Work> =
        when (fleet.kind) {
            FleetKind.ENGINE -> decoder.decode(caller.body)
            FleetKind.PLAIN -> Work.Plain(caller.method, caller.path, caller.contentType, caller.body).right()
        }

    private fun tokensOf(work: Work): Long =
        when (work) {
            is Work.Generate -> work.prompt.length / CHARACTERS_PER_TOKEN + 1L + work.maximumTokens
            is Work.Plain -> 1L
        }

    private fun answerBytes(work: Work): Long =
        when (work) {
            is Work.Generate -> work.maximumTokens.toLong() * CHARACTERS_PER_TOKEN
            is Work.Plain -> PLAIN_ANSWER_BYTES
        }

    private companion object {
        const val CHARACTERS_PER_TOKEN = 4
        const val PLAIN_ANSWER_BYTES = 2_000L
    }
}

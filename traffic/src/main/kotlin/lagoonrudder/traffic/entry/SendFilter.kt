/**
 * Sends a request to its target, again where that is safe, until it has an answer or a truthful end.
 *
 * A request that may run at most once is reserved at the owner of its key first. Nothing runs without a permit, a permit
 * is good for one run, and only the target's clock judges its life. After a run was sent it is sent again only when the
 * other side proves that it did not run. A request that may repeat is retried within the retry budget, and the text of
 * an engine resumes at the offset that was reached, from the same version.
 */
package lagoonrudder.traffic.entry

import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.mapNotNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import lagoonrudder.control.DispatchResult
import lagoonrudder.control.RecordedResponse
import lagoonrudder.control.IdempotencyDecision
import lagoonrudder.control.TargetLoad
import lagoonrudder.model.Clock
import lagoonrudder.model.Failure
import lagoonrudder.model.Instance
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Refusal
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.model.digestOf
import lagoonrudder.traffic.ResponseVerifier
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next
import lagoonrudder.traffic.ProgressLimits
import lagoonrudder.traffic.ReserveRequest
import lagoonrudder.traffic.RunEvent
import lagoonrudder.traffic.RunPermit
import lagoonrudder.traffic.RunRequest
import lagoonrudder.traffic.TargetClient
import lagoonrudder.traffic.Work
import lagoonrudder.traffic.checksumOf
import lagoonrudder.traffic.withProgressLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * [firstEvent] and [nextEvent] bound the silence of a target, [attempts] the tries of one request, [resume] the wait of an
 * answer that has begun for a target to go on at.
 */
data class SendLimits(
    val firstEvent: Duration = 3.seconds,
    val nextEvent: Duration = 2.seconds,
    val reserve: Duration = 1.seconds,
    val attempts: Int = 12,
    val resume: Duration = 10.seconds,
)

class SendFilter(
    private val control: EntryControl,
    private val link: TargetClient,
    private val clock: Clock,
    private val limits: SendLimits,
) : Filter<EntryCall> {
    override suspend fun handle(
        call: EntryCall,
        next: Next<EntryCall>,
    ): Outcome = Sending(call, control, link, clock, limits).run()
}

/** How one attempt ended. */
private sealed class AttemptResult {
    data class Ended(
        val outcome: Outcome,
        val load: TargetLoad? = null,
    ) : AttemptResult()

    /** The target proved that it did not run. */
    data class TurnedAway(
        val refusal: Refusal,
        val peer: Peer,
        val load: TargetLoad?,
    ) : AttemptResult()

    /** The target did not get the request, or the request may be repeated. */
    data class Lost(
        val failure: Failure,
    ) : AttemptResult()

    data object Parked : AttemptResult()
}

private class Sending(
    private val call: EntryCall,
    private val control: EntryControl,
    private val link: TargetClient,
    private val clock: Clock,
    private val limits: SendLimits,
) {
    private val context = call.context
    private val relay = call.relay
    private var ticket = call.ticket
    private var target = call.choice.target
    private var attempt = 0
    private var mayHaveRun: Failure? = null

    suspend fun run(): Outcome {
        control.thread.decide { control.retries.onFirstAttempt() }
        while (true) {
            attempt++
            val ended =
                when (val result = counted { attempt() }) {
                    is AttemptResult.Ended -> return result.outcome
                    is AttemptResult.TurnedAway -> afterRefusal(result)
                    is AttemptResult.Lost -> afterLoss(result.failure)
                    AttemptResult.Parked -> awaitReader()
                }
            if (ended != null) return ended
            awaitTarget()?.let { return it }
        }
    }

    /** Runs one attempt and tells the controllers how the target did. */
    private suspend fun counted(attempt: suspend () -> AttemptResult): AttemptResult {
        var result: AttemptResult? = null
        try {
            return attempt().also { result = it }
        } finally {
            withContext(NonCancellable) { control.thread.decide { account(result) } }
        }
    }

    private fun account(result: AttemptResult?) {
        when (result) {
            is AttemptResult.TurnedAway -> control.onRejected(target, result.load)
            is AttemptResult.Lost -> control.ended(ticket, target, failed = true)
            is AttemptResult.Ended -> {
                result.load?.let { control.onLoadUpdate(target, it) }
                control.ended(ticket, target, failed = result.outcome is Outcome.Unknown, heldBack = relay.heldBack)
            }
            AttemptResult.Parked, null -> control.ended(ticket, target, failed = false)
        }
    }

    private fun afterRefusal(result: AttemptResult.TurnedAway): Outcome? {
        val final = result.refusal is Refusal.Invalid || attempt >= limits.attempts
        if (final) return endWithout(result.refusal, result.peer)
        val elsewhere = result.refusal is Refusal.NotServing || result.refusal is Refusal.WrongVersion
        if (elsewhere) exclude(target)
        return null
    }

    private suspend fun afterLoss(failure: Failure): Outcome? {
        if (failure !is Failure.Unreachable && !isReservation(failure)) mayHaveRun = failure
        if (relay.started && context.work is Work.Plain) return Outcome.Broken(failure)
        val again = attempt < limits.attempts && control.thread.decide { control.retries.spend() }
        if (!again) return endWithout(Refusal.NoTarget(RETRY), failure.peer)
        exclude(target)
        return null
    }

    private suspend fun awaitReader(): Outcome? {
        relay.awaitRead()
        attempt--
        return null
    }

    /** The truthful end of a request that gets no answer. */
    private fun endWithout(
        refusal: Refusal,
        peer: Peer,
    ): Outcome {
        val uncertain = mayHaveRun
        return when {
            relay.started -> Outcome.Broken(uncertain ?: Failure.Declined(Step.SEND, peer, refusal.code))
            uncertain != null && context.work is Work.Plain -> Outcome.Unknown(uncertain)
            else -> Outcome.Refused(refusal, Step.SEND, peer)
        }
    }

    /** Waits for another target; an outcome means that there is none. */
    private suspend fun awaitTarget(): Outcome? {
        if (relay.started) ticket = ticket.copy(waiting = ticket.waiting.copy(deadline = clock.elapsed() + limits.resume))
        val turn = awaitTurn(control, ticket) { requeue(it) }
        return when (turn) {
            is DispatchResult.Refused -> endWithout(turn.refusal, Peer.SELF)
            is DispatchResult.Sent -> {
                target = turn.target
                null
            }
        }
    }

    private fun exclude(target: TargetId) {
        if (ticket.need.owner != null) return
        ticket = ticket.copy(need = ticket.need.copy(excluded = ticket.need.excluded + target))
    }

    private suspend fun attempt(): AttemptResult {
        val instance = control.thread.decide { control.membership.daemonOf(target) } ?: return AttemptResult.Lost(unlisted())
        val once = !context.route.idempotent
        return if (once) attemptOnce(instance) else attemptRun(instance, null)
    }

    private suspend fun attemptOnce(instance: Instance): AttemptResult {
        val key = context.key ?: return AttemptResult.Lost(unlisted())
        val body = digestOf(call.caller.body)
        val reserve = ReserveRequest(context.request, context.fleet.id, key, body, context.revision)
        val reserved = link.reserve(instance, reserve, limits.reserve)
        return when (reserved) {
            is Either.Left -> lostReservation(instance, reserved.value)
            is Either.Right -> afterReservation(instance, reserved.value, key)
        }
    }

    private suspend fun lostReservation(
        instance: Instance,
        failure: Failure,
    ): AttemptResult {
        if (failure is Failure.TimedOut) link.reset(instance)
        return AttemptResult.Lost(Failure.Unreachable(Step.GUARD_REPEATS, failure.peer, failure.detail))
    }

    private suspend fun afterReservation(
        instance: Instance,
        decision: IdempotencyDecision,
        key: IdempotencyKey,
    ): AttemptResult {
        val peer = peerOf(instance)
        return when (decision) {
            is IdempotencyDecision.Permitted -> attemptRun(instance, RunPermit(key, decision.permit))
            is IdempotencyDecision.Refused -> AttemptResult.TurnedAway(decision.refusal, peer, null)
            is IdempotencyDecision.Uncertain -> unknown(Failure.Declined(Step.GUARD_REPEATS, peer, decision.detail))
            is IdempotencyDecision.QueryPreviousOwners -> unknown(Failure.Damaged(Step.GUARD_REPEATS, peer, "an answer that is not for entry daemons"))
            is IdempotencyDecision.AlreadyRan -> repeatAnswer(decision.response, peer)
        }
    }

    private suspend fun repeatAnswer(
        response: RecordedResponse?,
        peer: Peer,
    ): AttemptResult {
        if (response == null) return unknown(Failure.Declined(Step.GUARD_REPEATS, peer, "it ran before and its answer is no longer held"))
        relay.start(RunEvent.Head(context.request, attempt, null, response.status, response.contentType), call.sink)
        relay.take(RunEvent.Bytes(0, response.body, checksumOf(response.body)))
        return AttemptResult.Ended(Outcome.Completed(response.body.size.toLong(), null))
    }

    private fun unknown(failure: Failure) = AttemptResult.Ended(Outcome.Unknown(failure))

    private suspend fun attemptRun(
        instance: Instance,
        permit: RunPermit?,
    ): AttemptResult =
        coroutineScope {
            val running = async { collect(instance, permit) }
            val parking = launch { awaitPark(permit, running) }
            try {
                running.await()
            } catch (cancelled: CancellationException) {
                ensureActive()
                if (relay.park.isCompleted) AttemptResult.Parked else throw cancelled
            } finally {
                parking.cancel()
            }
        }

    private suspend fun awaitPark(
        permit: RunPermit?,
        running: Deferred<AttemptResult>,
    ) {
        val resumable = permit == null && context.work is Work.Generate
        if (!resumable) return
        relay.park.await()
        running.cancel()
    }

    private suspend fun collect(
        instance: Instance,
        permit: RunPermit?,
    ): AttemptResult {
        val peer = peerOf(instance)
        val check = ResponseVerifier(relay.offset)
        var known = false
        val events = link.run(instance, requestFor(permit)).withProgressLimits(progressLimits(), Step.RUN, peer)
        val result =
            events
                .mapNotNull { event ->
                    when (event) {
                        is Either.Left -> afterFailure(instance, permit, event.value)
                        is Either.Right -> {
                            if (event.value is RunEvent.Head) known = true
                            takeIn(event.value, check, known, permit, peer)
                        }
                    }
                }
        return result.firstOr(afterFailure(instance, permit, Failure.Interrupted(Step.RUN, peer, "the answer ended without its end mark")))
    }

    private suspend fun Flow<AttemptResult>.firstOr(otherwise: AttemptResult): AttemptResult =
        try {
            first()
        } catch (_: NoSuchElementException) {
            otherwise
        }

    /** Takes in one event; a result means that the attempt is over. */
    private suspend fun takeIn(
        event: RunEvent,
        check: ResponseVerifier,
        known: Boolean,
        permit: RunPermit?,
        peer: Peer,
    ): AttemptResult? {
        if (!known && event !is RunEvent.NotRun) return damaged(permit, peer, "an answer without a head")
        return when (event) {
            is RunEvent.NotRun -> AttemptResult.TurnedAway(event.refusal, peer, event.load)
            is RunEvent.Head -> takeHead(event, permit, peer)
            is RunEvent.Bytes -> takeBytes(event, check, permit, peer)
            is RunEvent.End -> takeEnd(event, check, permit, peer)
        }
    }

    private suspend fun takeHead(
        head: RunEvent.Head,
        permit: RunPermit?,
        peer: Peer,
    ): AttemptResult? {
        val own = head.request == context.request && head.attempt == attempt
        if (!own) return damaged(permit, peer, "an answer to another request")
        if (relay.started && head.version != relay.version) return damaged(permit, peer, "an answer of another version")
        if (!context.fleet.accepts(head.version)) return damaged(permit, peer, "an answer of a version that was not asked for")
        if (!relay.started) relay.start(head, call.sink)
        return null
    }

    private suspend fun takeBytes(
        bytes: RunEvent.Bytes,
        check: ResponseVerifier,
        permit: RunPermit?,
        peer: Peer,
    ): AttemptResult? {
        if (checksumOf(bytes.data) !=
            bytes.checksum
        ) {
            return damaged(permit, peer, "bytes at offset ${bytes.offset} don't match their checksum")
        }
        val follows = check.follow(bytes.offset, bytes.data) && relay.take(bytes)
        return if (follows) null else damaged(permit, peer, "bytes out of order at offset ${bytes.offset}")
    }

    private fun takeEnd(
        end: RunEvent.End,
        check: ResponseVerifier,
        permit: RunPermit?,
        peer: Peer,
    ): AttemptResult {
        if (!check.endsWith(end.length, end.checksum)) return wrongEnd(peer)
        return AttemptResult.Ended(Outcome.Completed(end.length, relay.version), end.load)
    }

    /** What was handed on can't be taken back: the answer ends broken, it is not resumed. */
    private fun wrongEnd(peer: Peer): AttemptResult =
        AttemptResult.Ended(Outcome.Broken(Failure.Damaged(Step.RELAY, peer, "length or checksum of the answer differ")))

    private fun damaged(
        permit: RunPermit?,
        peer: Peer,
        detail: String,
    ): AttemptResult = lostOrUncertain(permit, Failure.Damaged(Step.RELAY, peer, detail))

    private fun afterFailure(
        instance: Instance,
        permit: RunPermit?,
        failure: Failure,
    ): AttemptResult {
        if (failure is Failure.TimedOut) link.reset(instance)
        return lostOrUncertain(permit, failure)
    }

    /** Under a permit only a failure before anything was sent allows another try. */
    private fun lostOrUncertain(
        permit: RunPermit?,
        failure: Failure,
    ): AttemptResult =
        when {
            permit == null || failure is Failure.Unreachable -> AttemptResult.Lost(failure)
            relay.started -> AttemptResult.Ended(Outcome.Broken(failure))
            else -> unknown(failure)
        }

    private fun requestFor(permit: RunPermit?) =
        RunRequest(
            request = context.request,
            attempt = attempt,
            customer = context.customer.id,
            fleet = context.fleet.id,
            revision = context.revision,
            versions = relay.version?.let { listOf(it) } ?: listOfNotNull(context.fleet.version, context.fleet.replaces),
            offset = relay.offset,
            timeLeft = timeLeft(),
            tokens = context.tokens,
            priority = context.route.priority,
            permit = permit,
            work = context.work,
        )

    private fun progressLimits(): ProgressLimits =
        when (context.work) {
            is Work.Generate -> ProgressLimits(minOf(limits.firstEvent, timeLeft()), limits.nextEvent)
            is Work.Plain -> ProgressLimits(timeLeft(), limits.nextEvent)
        }

    /** What is left of the deadline; an answer that has begun is bounded by its progress alone. */
    private fun timeLeft(): Duration {
        val left = context.deadline - clock.elapsed()
        return if (relay.started) maxOf(left, limits.firstEvent) else left.coerceAtLeast(SHORTEST_TIME)
    }

    private fun isReservation(failure: Failure) = failure.step == Step.GUARD_REPEATS

    private fun unlisted() = Failure.Unreachable(Step.CONNECT, Peer(PeerRole.TARGET, target.text), "no instance is listed for the target")

    private fun peerOf(instance: Instance) = Peer(PeerRole.TARGET, instance.address.toString())

    private companion object {
        val RETRY = 500.milliseconds
        val SHORTEST_TIME = 1.milliseconds
    }
}

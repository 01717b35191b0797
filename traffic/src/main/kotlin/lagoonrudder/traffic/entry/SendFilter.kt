/**
 * Sends a request to its target and retries where that is safe, until it has a response or a definite outcome.
 *
 * A request that may run at most once is first reserved at the owner of its idempotency key. Nothing runs without a permit, a
 * permit is valid for one run, and only the target's clock decides when it expires. After a run was sent, it is sent again only
 * if the target proves that it did not run. An idempotent request is retried within the retry budget, and text from an engine
 * resumes at the offset that was reached, from the same version.
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
import lagoonrudder.control.IdempotencyDecision
import lagoonrudder.control.RecordedResponse
import lagoonrudder.control.TargetLoad
import lagoonrudder.model.Clock
import lagoonrudder.model.Failure
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.Instance
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Refusal
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.model.digestOf
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next
import lagoonrudder.traffic.ProgressLimits
import lagoonrudder.traffic.ReserveRequest
import lagoonrudder.traffic.ResponseVerifier
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
 * Limits of one request. [firstEvent] and [nextEvent] are the timeouts for events of a target, [attempts] is the maximum number
 * of attempts, and [resume] is the time that a started response may wait for a target to resume at.
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
    private val client: TargetClient,
    private val clock: Clock,
    private val limits: SendLimits,
) : Filter<EntryCall> {
    override suspend fun handle(
        call: EntryCall,
        next: Next<EntryCall>,
    ): Outcome = SendOperation(call, control, client, clock, limits).run()
}

/** The result of one attempt. */
private sealed class AttemptResult {
    data class Ended(
        val outcome: Outcome,
        val load: TargetLoad? = null,
    ) : AttemptResult()

    /** The target proved that the attempt did not run. */
    data class Rejected(
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

private class SendOperation(
    private val call: EntryCall,
    private val control: EntryControl,
    private val client: TargetClient,
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
            val outcome =
                when (val result = recorded { attempt() }) {
                    is AttemptResult.Ended -> return result.outcome
                    is AttemptResult.Rejected -> onRejected(result)
                    is AttemptResult.Lost -> onLost(result.failure)
                    AttemptResult.Parked -> awaitDrained()
                }
            if (outcome != null) return outcome
            awaitTarget()?.let { return it }
        }
    }

    /** Runs one attempt and reports its result to the controllers. */
    private suspend fun recorded(attempt: suspend () -> AttemptResult): AttemptResult {
        var result: AttemptResult? = null
        try {
            return attempt().also { result = it }
        } finally {
            withContext(NonCancellable) { control.thread.decide { recordResult(result) } }
        }
    }

    private fun recordResult(result: AttemptResult?) {
        when (result) {
            is AttemptResult.Rejected -> control.onRejected(target, result.load)
            is AttemptResult.Lost -> control.release(ticket, target, failed = true)
            is AttemptResult.Ended -> {
                result.load?.let { control.onLoadUpdate(target, it) }
                control.release(ticket, target, failed = result.outcome is Outcome.Unknown, blockedByCaller = relay.blockedByCaller)
            }
            AttemptResult.Parked, null -> control.release(ticket, target, failed = false)
        }
    }

    private fun onRejected(result: AttemptResult.Rejected): Outcome? {
        val final = result.refusal is Refusal.Invalid || attempt >= limits.attempts
        if (final) return finalOutcome(result.refusal, result.peer)
        val excludesTarget = result.refusal is Refusal.NotServing || result.refusal is Refusal.WrongVersion
        if (excludesTarget) exclude(target)
        return null
    }

    private suspend fun onLost(failure: Failure): Outcome? {
        if (failure !is Failure.Unreachable && !isReservation(failure)) mayHaveRun = failure
        if (relay.started && context.work is Work.Plain) return Outcome.Broken(failure)
        val retry = attempt < limits.attempts && control.thread.decide { control.retries.spend() }
        if (!retry) return finalOutcome(Refusal.NoTarget(RETRY), failure.peer)
        exclude(target)
        return null
    }

    private suspend fun awaitDrained(): Outcome? {
        relay.awaitDrained()
        attempt--
        return null
    }

    /** Returns the outcome of a request that gets no complete response, by whether it may have run. */
    private fun finalOutcome(
        refusal: Refusal,
        peer: Peer,
    ): Outcome {
        val failure = mayHaveRun
        return when {
            relay.started -> Outcome.Broken(failure ?: Failure.Declined(Step.SEND, peer, refusal.code))
            failure != null && context.work is Work.Plain -> Outcome.Unknown(failure)
            else -> Outcome.Refused(refusal, Step.SEND, peer)
        }
    }

    /** Waits for another target; returns an outcome if there is none. */
    private suspend fun awaitTarget(): Outcome? {
        if (relay.started) ticket = ticket.copy(queued = ticket.queued.copy(deadline = clock.elapsed() + limits.resume))
        val result = awaitDispatch(control, ticket) { requeue(it) }
        return when (result) {
            is DispatchResult.Refused -> finalOutcome(result.refusal, Peer.SELF)
            is DispatchResult.Sent -> {
                target = result.target
                null
            }
        }
    }

    private fun exclude(target: TargetId) {
        if (ticket.routingRequest.owner != null) return
        ticket = ticket.copy(routingRequest = ticket.routingRequest.copy(excluded = ticket.routingRequest.excluded + target))
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
        val reserved = client.reserve(instance, reserve, limits.reserve)
        return when (reserved) {
            is Either.Left -> onReservationFailed(instance, reserved.value)
            is Either.Right -> onReservation(instance, reserved.value, key)
        }
    }

    private suspend fun onReservationFailed(
        instance: Instance,
        failure: Failure,
    ): AttemptResult {
        if (failure is Failure.TimedOut) client.reset(instance)
        return AttemptResult.Lost(Failure.Unreachable(Step.GUARD_REPEATS, failure.peer, failure.detail))
    }

    private suspend fun onReservation(
        instance: Instance,
        decision: IdempotencyDecision,
        key: IdempotencyKey,
    ): AttemptResult {
        val peer = peerOf(instance)
        return when (decision) {
            is IdempotencyDecision.Permitted -> attemptRun(instance, RunPermit(key, decision.permit))
            is IdempotencyDecision.Refused -> AttemptResult.Rejected(decision.refusal, peer, null)
            is IdempotencyDecision.Uncertain -> unknown(Failure.Declined(Step.GUARD_REPEATS, peer, decision.detail))
            is IdempotencyDecision.QueryPreviousOwners ->
                unknown(
                    Failure.Damaged(Step.GUARD_REPEATS, peer, "decision is not valid for entry daemons"),
                )
            is IdempotencyDecision.AlreadyRan -> recordedResponse(decision.response, peer)
        }
    }

    private suspend fun recordedResponse(
        response: RecordedResponse?,
        peer: Peer,
    ): AttemptResult {
        if (response == null) return unknown(Failure.Declined(Step.GUARD_REPEATS, peer, "already ran; its response is no longer held"))
        relay.start(RunEvent.Head(context.request, attempt, null, response.status, response.contentType), call.sink)
        relay.append(RunEvent.Bytes(0, response.body, checksumOf(response.body)))
        return AttemptResult.Ended(Outcome.Completed(response.body.size.toLong(), null))
    }

    private fun unknown(failure: Failure) = AttemptResult.Ended(Outcome.Unknown(failure))

    private suspend fun attemptRun(
        instance: Instance,
        permit: RunPermit?,
    ): AttemptResult =
        coroutineScope {
            val running = async { collect(instance, permit) }
            val parkWatch = launch { awaitPark(permit, running) }
            try {
                running.await()
            } catch (cancelled: CancellationException) {
                ensureActive()
                if (relay.park.isCompleted) AttemptResult.Parked else throw cancelled
            } finally {
                parkWatch.cancel()
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
        var headReceived = false
        val events = client.run(instance, requestFor(permit)).withProgressLimits(progressLimits(), Step.RUN, peer)
        val result =
            events
                .mapNotNull { event ->
                    when (event) {
                        is Either.Left -> onFailure(instance, permit, event.value)
                        is Either.Right -> {
                            if (event.value is RunEvent.Head) headReceived = true
                            onEvent(event.value, check, headReceived, permit, peer)
                        }
                    }
                }
        return result.firstOr(onFailure(instance, permit, Failure.Interrupted(Step.RUN, peer, "the response ended without its end mark")))
    }

    private suspend fun Flow<AttemptResult>.firstOr(otherwise: AttemptResult): AttemptResult =
        try {
            first()
        } catch (_: NoSuchElementException) {
            otherwise
        }

    /** Processes one event; returns the result of the attempt if it is over. */
    private suspend fun onEvent(
        event: RunEvent,
        check: ResponseVerifier,
        headReceived: Boolean,
        permit: RunPermit?,
        peer: Peer,
    ): AttemptResult? {
        if (!headReceived && event !is RunEvent.NotRun) return damaged(permit, peer, "response without a head")
        return when (event) {
            is RunEvent.NotRun -> AttemptResult.Rejected(event.refusal, peer, event.load)
            is RunEvent.Head -> onHead(event, permit, peer)
            is RunEvent.Bytes -> onBytes(event, check, permit, peer)
            is RunEvent.End -> onEnd(event, check, permit, peer)
        }
    }

    private suspend fun onHead(
        head: RunEvent.Head,
        permit: RunPermit?,
        peer: Peer,
    ): AttemptResult? {
        val matches = head.request == context.request && head.attempt == attempt
        if (!matches) return damaged(permit, peer, "response to another request or attempt")
        if (relay.started && head.version != relay.version) return damaged(permit, peer, "response of a different version")
        if (!context.fleet.accepts(head.version)) return damaged(permit, peer, "response of a version that was not requested")
        if (!relay.started) relay.start(head, call.sink)
        return null
    }

    private suspend fun onBytes(
        bytes: RunEvent.Bytes,
        check: ResponseVerifier,
        permit: RunPermit?,
        peer: Peer,
    ): AttemptResult? {
        if (checksumOf(bytes.data) !=
            bytes.checksum
        ) {
            return damaged(permit, peer, "bytes at offset ${bytes.offset} do not match their checksum")
        }
        val follows = check.append(bytes.offset, bytes.data) && relay.append(bytes)
        return if (follows) null else damaged(permit, peer, "data at unexpected offset ${bytes.offset}")
    }

    private fun onEnd(
        end: RunEvent.End,
        check: ResponseVerifier,
        permit: RunPermit?,
        peer: Peer,
    ): AttemptResult {
        if (!check.matchesEnd(end.length, end.checksum)) return onEndMismatch(peer)
        return AttemptResult.Ended(Outcome.Completed(end.length, relay.version), end.load)
    }

    /** Ends the response as broken instead of resuming it, because bytes that were already forwarded can't be revoked. */
    private fun onEndMismatch(peer: Peer): AttemptResult =
        AttemptResult.Ended(Outcome.Broken(Failure.Damaged(Step.RELAY, peer, "response length or checksum mismatch")))

    private fun damaged(
        permit: RunPermit?,
        peer: Peer,
        detail: String,
    ): AttemptResult = lostOrUnknown(permit, Failure.Damaged(Step.RELAY, peer, detail))

    private fun onFailure(
        instance: Instance,
        permit: RunPermit?,
        failure: Failure,
    ): AttemptResult {
        if (failure is Failure.TimedOut) client.reset(instance)
        return lostOrUnknown(permit, failure)
    }

    /** Under a permit, only a failure before anything was sent allows another attempt. */
    private fun lostOrUnknown(
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

    /** Returns the time until the deadline; a started response is limited by its progress timeouts alone. */
    private fun timeLeft(): Duration {
        val left = context.deadline - clock.elapsed()
        return if (relay.started) maxOf(left, limits.firstEvent) else left.coerceAtLeast(MIN_TIME_LEFT)
    }

    private fun isReservation(failure: Failure) = failure.step == Step.GUARD_REPEATS

    private fun unlisted() = Failure.Unreachable(Step.CONNECT, Peer(PeerRole.TARGET, target.text), "no instance is listed for the target")

    private fun peerOf(instance: Instance) = Peer(PeerRole.TARGET, instance.address.toString())

    private companion object {
        val RETRY = 500.milliseconds
        val MIN_TIME_LEFT = 1.milliseconds
    }
}

/**
 * Sends a request to a back end and retries where that is safe, until it has a response or a definite outcome.
 *
 * A request that may run at most once is retried only after proof that it did not run: a connection that was never opened or
 * a response that says so. Any other failure ends with an unknown outcome. A resumable stream continues after its last
 * complete event within the same response; any other response that has begun is broken with its back end. Every retry that
 * may reach a back end counts towards the retry budget that all entry daemons share.
 */
package lagoonrudder.traffic.direct

import arrow.core.getOrElse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.direct.AttemptOutcome
import lagoonrudder.control.direct.AttemptTimes
import lagoonrudder.control.direct.Placement
import lagoonrudder.control.direct.PlacementRequest
import lagoonrudder.control.direct.PlacementTicket
import lagoonrudder.control.direct.admission.WaitLimit
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.Failure
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestKind
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import lagoonrudder.traffic.Filter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import lagoonrudder.traffic.Next as NextFilter

/**
 * Limits of one request. [resume] is the time that a started stream may spend in the queue. [progress] is the time without progress after which a response
 * that is not a stream is given up at a back end if it may be retried elsewhere; that of a stream depends on its route.
 * [rejections] is the maximum number of back ends that may reject one request.
 */
data class DirectLimits(
    val progress: Duration = 1_200.milliseconds,
    val resume: Duration = 800.milliseconds,
    val rejections: Int = 4,
    val retryAfter: Duration = 1.seconds,
)

class DirectSendFilter(
    private val control: DirectControl,
    private val client: BackEndClient,
    private val limits: DirectLimits,
) : Filter<DirectCall> {
    override suspend fun handle(
        call: DirectCall,
        next: NextFilter<DirectCall>,
    ): Outcome = DirectSendOperation(call, control, client, limits).run()
}

/** The result of one attempt. */
internal sealed class DirectAttemptResult {
    data class Completed(
        val length: Long,
    ) : DirectAttemptResult()

    /** The request did not run at the back end. [reached] is set if it arrived there. */
    data class NotRun(
        val reached: Boolean,
        val detail: String,
    ) : DirectAttemptResult()

    /**
     * The request may have run at the back end, but there is no response to forward. [disconnected] is set if the back end closed the
     * connection.
     */
    data class Lost(
        val detail: String,
        val timedOut: Boolean = false,
        val disconnected: Boolean = false,
    ) : DirectAttemptResult()

    /** The deadline of the caller or the route expired; [timedOut] is set if the back end had sent nothing at all. */
    data class OutOfTime(
        val timedOut: Boolean,
    ) : DirectAttemptResult()

    /** The back end ran the request and it failed; [DirectRelay] holds the error response. */
    data class Failed(
        val status: Int,
    ) : DirectAttemptResult()
}

private class DirectSendOperation(
    private val call: DirectCall,
    private val control: DirectControl,
    private val client: BackEndClient,
    private val limits: DirectLimits,
) {
    private val context = call.context
    private val kind = context.route.kind
    private val relay = DirectRelay(call, control.clock)
    private val excluded = mutableSetOf<TargetId>()
    private val usedAddresses = mutableSetOf<Address>()
    private val parts = call.request.sharedParts.toSet()
    private var runs = 0
    private var rejections = 0
    private var mayHaveRun: DirectAttemptResult.Lost? = null
    private var number: WeightNumber? = null

    suspend fun run(): Outcome {
        // Waits within an attempt have timeouts of their own; this one is for a caller that does not read.
        return withTimeoutOrNull(context.timeLeft(control.clock) + SLOW_READER_MARGIN) { attempts() } ?: onDeadline()
    }

    private suspend fun attempts(): Outcome {
        while (true) {
            val backEnd =
                when (val placement = place()) {
                    is Placement.Placed -> placement.backEnd.also { number = placement.number }
                    is Placement.Refused -> return refusedOutcome(placement)
                }
            val result = recorded(backEnd) { attempt(backEnd) }
            call.attempts += AttemptRecord(backEnd.id, describe(result), relay.eventsInAttempt)
            excluded += backEnd.id
            val outcome =
                when (result) {
                    is DirectAttemptResult.Completed -> return Outcome.Completed(result.length, null)
                    is DirectAttemptResult.NotRun -> onNotRun(result)
                    is DirectAttemptResult.Lost -> onLost(result)
                    is DirectAttemptResult.OutOfTime -> return onDeadline()
                    is DirectAttemptResult.Failed -> onFailed(result)
                }
            if (outcome != null) return outcome
        }
    }

    private suspend fun place(): Placement {
        val startedAt = control.clock.elapsed()
        val timeLeft = context.timeLeft(control.clock)
        if (timeLeft <= Duration.ZERO) return Placement.Refused(Refusal.TooLate(limits.retryAfter), "time is over")
        val priority = if (relay.started) RESUME_PRIORITY else context.priority
        val request =
            PlacementRequest(
                service = context.service,
                customer = context.customer?.id,
                priority = priority,
                homeRegions = context.homeRegions,
                excluded = excluded.toSet(),
                number = relay.number,
                promptTokens = call.request.promptTokens ?: 0,
                isLate = context.isLate && !relay.started,
                wait = waitLimit(timeLeft),
                timeLeft = timeLeft,
                parts = parts,
                mayHaveRun = mayHaveRun != null,
            )
        val ticket =
            withContext(NonCancellable) {
                control.thread.decide { place(request) }
            }
        val decision = ticket.result
        var received = false
        try {
            val placement =
                withTimeoutOrNull(minOf(ticket.wait, timeLeft)) { decision.await() } ?: run {
                    control.thread.decide { control.placement.onWaitTimeout(decision, control.clock.elapsed()) }
                    decision.await()
                }
            return placement.also { received = true }
        } finally {
            call.queueTime += control.clock.elapsed() - startedAt
            if (!received) withContext(NonCancellable) { control.thread.decide { releasePlacement(decision) } }
        }
    }

    /** Runs on the control thread. */
    private fun place(request: PlacementRequest): PlacementTicket {
        val now = control.clock.elapsed()
        if (call.attempts.isEmpty()) control.retryBudget.recordRequest(context.service, now)
        return control.placement.place(request, now)
    }

    private fun waitLimit(timeLeft: Duration): WaitLimit =
        when {
            relay.started -> WaitLimit.Within(limits.resume)
            call.attempts.isNotEmpty() -> WaitLimit.Within(RETRY_MAX_WAIT)
            else -> {
                val objective = context.route.latencyObjective
                val objectiveLeft = if (context.isLate) Duration.ZERO else objective - (control.clock.elapsed() - call.receivedAt)
                WaitLimit.ForObjective(objective, objectiveLeft, callerPatience(), timeLeft)
            }
        }

    /** Returns how long the caller waits for the first event of a response. */
    private fun callerPatience(): Duration =
        when (kind) {
            RequestKind.Idempotent, RequestKind.AtMostOnce -> Duration.INFINITE
            is RequestKind.Stream -> kind.callerPatience(context.route.latencyObjective)
        }

    /** Releases the slot of a request whose coroutine was cancelled while it waited; runs on the control thread. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun releasePlacement(decision: CompletableDeferred<Placement>) {
        if (!decision.isCompleted) return control.placement.withdraw(decision)
        val placed = decision.getCompleted() as? Placement.Placed ?: return
        control.placement.onAttemptEnded(placed.backEnd.id, context.customer?.id, AttemptOutcome.ABANDONED, control.clock.elapsed())
    }

    /** Runs one attempt and reports its outcome to the controllers. */
    private suspend fun recorded(
        backEnd: BackEnd,
        attempt: suspend () -> DirectAttemptResult,
    ): DirectAttemptResult {
        var result: DirectAttemptResult? = null
        val startedAt = control.clock.elapsed()
        try {
            return attempt().also { result = it }
        } finally {
            val outcome = result?.let { attemptOutcomeOf(it) } ?: AttemptOutcome.ABANDONED
            withContext(NonCancellable) {
                control.thread.decide {
                    val now = control.clock.elapsed()
                    if (crashed(result)) control.suspicions.onCrash(backEnd, parts, now)
                    val times = AttemptTimes(held = now - startedAt, firstEvent = relay.firstProgressAt?.let { it - startedAt })
                    control.placement.onAttemptEnded(backEnd.id, context.customer?.id, outcome, now, times)
                }
            }
        }
    }

    /** Returns whether the back end may have crashed on this request. */
    private fun crashed(result: DirectAttemptResult?): Boolean = result is DirectAttemptResult.Lost && result.disconnected && !relay.wentOn

    private suspend fun attempt(backEnd: BackEnd): DirectAttemptResult {
        val attempt =
            DirectAttempt(
                caller = call.request,
                backEnd = backEnd,
                customer = context.customer?.id,
                priority = context.priority,
                timeLeft = context.timeLeft(control.clock),
                number = number,
                resumeAfter = relay.lastEvent ?: call.request.resumeAfter,
                // Two incarnations at one address are both registered until the entry of the earlier one expires.
                sentBefore = !usedAddresses.add(backEnd.address),
            )
        val open = client.send(attempt).getOrElse { return DirectAttemptResult.NotRun(reached = false, it.describe()) }
        try {
            return receive(open, backEnd)
        } finally {
            open.abandon()
        }
    }

    private suspend fun receive(
        open: OpenAttempt,
        backEnd: BackEnd,
    ): DirectAttemptResult {
        relay.startAttempt()
        var isAnswerReported = parts.isEmpty()
        while (true) {
            val result =
                when (val next = awaitEvent(open)) {
                    is Next.Event -> {
                        heed(next.event, backEnd)
                        relay.onEvent(next.event)
                    }
                    Next.Timeout -> timedOut(backEnd)
                    Next.OutOfTime -> DirectAttemptResult.OutOfTime(timedOut = !relay.receivedAny)
                }
            if (relay.wentOn && !isAnswerReported) {
                isAnswerReported = true
                control.thread.decide { control.suspicions.onAnswered(parts, control.clock.elapsed()) }
            }
            if (result != null) return result
        }
    }

    /** Passes on what the back end says of itself, before anything else is decided about this answer. */
    private suspend fun heed(
        event: ResponseEvent,
        backEnd: BackEnd,
    ) {
        val notices = (event as? ResponseEvent.Head)?.head?.notices.orEmpty()
        if (notices.isEmpty()) return
        control.thread.decide { notices.forEach { control.notices.onNoticeReceived(backEnd.run, it, control.clock.elapsed()) } }
    }

    /** The result of waiting for the next event. */
    private sealed class Next {
        class Event(
            val event: ResponseEvent,
        ) : Next()

        /** The back end sent no event in time, and another one may be tried. */
        data object Timeout : Next()

        data object OutOfTime : Next()
    }

    private suspend fun awaitEvent(open: OpenAttempt): Next {
        val mayRetry = kind.retryable && relay.mayContinue && runs + 1 < context.route.attempts
        val limit = relay.progressAt + progressTimeout() - control.clock.elapsed()
        if (mayRetry && limit < context.timeLeft(control.clock)) {
            withTimeoutOrNull(limit) { open.next() }?.let { return Next.Event(it) }
            if (takeRetry()) return Next.Timeout
        }
        val event = withTimeoutOrNull(context.timeLeft(control.clock)) { open.next() }
        return if (event == null) Next.OutOfTime else Next.Event(event)
    }

    private fun progressTimeout(): Duration =
        when (kind) {
            RequestKind.Idempotent, RequestKind.AtMostOnce -> limits.progress
            is RequestKind.Stream -> kind.progressTimeout(context.route.latencyObjective)
        }

    private fun timedOut(backEnd: BackEnd): DirectAttemptResult {
        client.discardIdleConnections(backEnd)
        return DirectAttemptResult.Lost("silent", timedOut = true)
    }

    private suspend fun onNotRun(result: DirectAttemptResult.NotRun): Outcome? {
        rejections++
        val retry = rejections <= limits.rejections && (!result.reached || takeRetry())
        return if (retry) null else finalOutcome(result.detail)
    }

    private suspend fun onLost(result: DirectAttemptResult.Lost): Outcome? {
        runs++
        mayHaveRun = result
        val retry = kind.retryable && relay.mayContinue && runs < context.route.attempts && (result.timedOut || takeRetry())
        return if (retry) null else finalOutcome(result.detail)
    }

    private suspend fun onFailed(result: DirectAttemptResult.Failed): Outcome? {
        runs++
        val retry = kind is RequestKind.Idempotent && runs < context.route.attempts && takeRetry()
        if (retry) return null
        return Outcome.Completed(relay.forwardErrorResponse(), null).also { call.lastFailure = failure("status ${result.status}") }
    }

    private suspend fun takeRetry(): Boolean =
        control.thread.decide {
            control.retryBudget.spend(context.service, control.peers.entryCount(control.clock.elapsed()), control.clock.elapsed())
        }

    private suspend fun refusedOutcome(placement: Placement.Refused): Outcome {
        if (relay.started || mayHaveRun != null || relay.holdsErrorResponse) return finalOutcome(placement.reason)
        call.lastFailure = failure(placement.reason)
        return Outcome.Refused(placement.refusal, Step.CHOOSE_TARGET, Peer.SELF)
    }

    private suspend fun onDeadline(): Outcome {
        mayHaveRun = mayHaveRun ?: DirectAttemptResult.Lost("time is over")
        return finalOutcome("time is over")
    }

    /**
     * Returns the outcome of a request that gets no further attempt. A request that ran and failed is never refused: it gets the
     * error response of its back end.
     */
    private suspend fun finalOutcome(detail: String): Outcome {
        val failure = failure(detail)
        call.lastFailure = failure
        return when {
            relay.started -> Outcome.Broken(failure)
            relay.holdsErrorResponse -> Outcome.Completed(relay.forwardErrorResponse(), null)
            mayHaveRun != null -> Outcome.Unknown(failure)
            else -> Outcome.Refused(Refusal.NoTarget(limits.retryAfter), Step.SEND, failure.peer)
        }
    }

    private fun failure(detail: String): Failure =
        Failure.Interrupted(
            Step.SEND,
            Peer(
                PeerRole.TARGET,
                call.attempts
                    .lastOrNull()
                    ?.target
                    ?.text ?: "none",
            ),
            detail,
        )

    private fun attemptOutcomeOf(result: DirectAttemptResult): AttemptOutcome =
        when (result) {
            is DirectAttemptResult.Completed -> AttemptOutcome.ANSWERED
            is DirectAttemptResult.NotRun -> if (result.reached) AttemptOutcome.NOT_RUN else AttemptOutcome.UNREACHABLE
            is DirectAttemptResult.Lost -> if (result.timedOut) AttemptOutcome.TIMED_OUT else AttemptOutcome.FAILED
            is DirectAttemptResult.OutOfTime -> if (result.timedOut) AttemptOutcome.TIMED_OUT else AttemptOutcome.ABANDONED
            is DirectAttemptResult.Failed -> AttemptOutcome.FAILED
        }

    private fun describe(result: DirectAttemptResult): String =
        when (result) {
            is DirectAttemptResult.Completed -> "answered"
            is DirectAttemptResult.NotRun -> "not-run:${result.detail}"
            is DirectAttemptResult.Lost -> "lost:${result.detail}"
            is DirectAttemptResult.OutOfTime -> "out-of-time"
            is DirectAttemptResult.Failed -> "failed:${result.status}"
        }

    private companion object {
        /** A stream that has started precedes requests of every priority. */
        const val RESUME_PRIORITY = -1

        /** A retry is already delayed, so it takes a free slot within this time or none. */
        val RETRY_MAX_WAIT = 60.milliseconds
        val SLOW_READER_MARGIN = 200.milliseconds
    }
}

/**
 * Sends one request to a back end and retries where that is safe, until it has a response or a definite outcome.
 *
 * A request that may run at most once is retried only after proof that it did not run: a connection that was never opened or
 * a response that says so. Any other failure ends with an unknown outcome. A resumable stream continues after its last
 * complete event within the same response; any other response that has begun is broken with its back end. Every retry that
 * may reach a back end counts towards the retry budget that all entry daemons share.
 *
 * A back end that makes no progress is not given up for that. Where the request may run twice, another back end takes it over, and both
 * are read until one of them provides the next event; without a place, an attempt or the budget for that, the first one goes on. Only a
 * request that might begin on an older version after its limit is given up at its back end.
 */
package lagoonrudder.traffic.direct

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.direct.AttemptOutcome
import lagoonrudder.control.direct.AttemptTimes
import lagoonrudder.control.direct.BeginLimit
import lagoonrudder.control.direct.Placement
import lagoonrudder.model.Failure
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestKind
import lagoonrudder.model.Step
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class DirectSendOperation(
    private val call: DirectCall,
    private val control: DirectControl,
    private val client: BackEndClient,
    private val limits: DirectLimits,
    private val onLateVersion: (DirectCall, LateVersion) -> Unit,
) {
    private val context = call.context
    private val kind = context.route.kind
    private val relay = DirectRelay(call, control.clock)
    private val live = mutableListOf<LiveAttempt>()
    private val places = RequestPlaces(call, control, relay, limits)
    private val sender = AttemptSender(call, control, client, places, relay)
    private val parts = call.request.sharedParts.toSet()
    private var runs = 0
    private var rejections = 0
    private var mayHaveRun: DirectAttemptResult.Lost? = null
    private var nextTakeOverAt = Duration.ZERO

    /** Whether the next attempt was taken from the retry budget. */
    private var hasTakenRetry = false

    suspend fun run(): Outcome {
        // Waits within an attempt have timeouts of their own; these are for a caller that does not read.
        val outcome = withTimeoutOrNull(context.timeLeft(control.clock) + SLOW_READER_MARGIN) { attempts() } ?: return onDeadline()
        if (!relay.started) return outcome
        val taken = withTimeoutOrNull(context.timeLeft(control.clock) + SLOW_READER_MARGIN) { call.response.awaitTaken() }
        return if (taken == null) finalOutcome("the caller has not read its response in time") else outcome
    }

    private suspend fun attempts(): Outcome =
        coroutineScope {
            try {
                var outcome: Outcome? = null
                while (outcome == null) outcome = if (live.isEmpty()) startAttempt() else awaitAttempts(this)
                outcome
            } finally {
                withContext(NonCancellable) { live.toList().forEach { end(it, result = null) } }
            }
        }

    /** Places the request and starts an attempt; returns the outcome if no back end can take it. */
    private suspend fun startAttempt(): Outcome? =
        when (val placement = places.take(mayHaveRun = mayHaveRun != null)) {
            is Placement.Placed -> {
                hasTakenRetry = false
                startAt(placement)
                null
            }
            is Placement.Refused -> {
                if (hasTakenRetry) control.thread.decide { control.retryBudget.giveBack(context.service) }
                refusedOutcome(placement)
            }
        }

    private fun startAt(placement: Placement.Placed) {
        places.exclude(placement.backEnd.id)
        lateinit var started: LiveAttempt
        started = sender.start(placement, relay.startAttempt { supersedeOthers(started) })
        live += started
    }

    /** What happens next to the attempts that are awaited. */
    private sealed class Next {
        class Event(
            val attempt: LiveAttempt,
            val event: Either<DirectAttemptResult, ResponseEvent>,
        ) : Next()

        /** No attempt has made progress for a while. */
        data object Silence : Next()

        /** No attempt has made progress for so long that another back end may take over. */
        data object TakeOver : Next()

        /** [attempt] has not begun, and needs a decision whether it still may. */
        class BeginDecision(
            val attempt: LiveAttempt,
        ) : Next()

        data object OutOfTime : Next()
    }

    /** Awaits and handles what happens next; returns the outcome if that decides it. */
    private suspend fun awaitAttempts(scope: CoroutineScope): Outcome? =
        when (val next = awaitNext(scope)) {
            is Next.Event -> onEvent(next.attempt, next.event)
            Next.Silence -> {
                onSilence()
                null
            }
            Next.TakeOver -> {
                takeOver()
                null
            }
            is Next.BeginDecision -> decideBegin(next.attempt)
            Next.OutOfTime -> {
                live.toList().forEach { end(it, DirectAttemptResult.OutOfTime(timedOut = !it.relay.receivedAny)) }
                onDeadline()
            }
        }

    private suspend fun awaitNext(scope: CoroutineScope): Next {
        val now = control.clock.elapsed()
        val (next, at) = nextTimeout()
        if (at <= now) return next
        val only = live.singleOrNull()
        return withTimeoutOrNull(at - now) { if (only != null) Next.Event(only, only.next(scope)) else awaitFirst(scope) } ?: next
    }

    private suspend fun awaitFirst(scope: CoroutineScope): Next.Event =
        select {
            for (attempt in live) {
                attempt.nextIn(scope).onAwait { event ->
                    attempt.onTaken()
                    Next.Event(attempt, event)
                }
            }
        }

    /** Returns what happens if no event comes, and when. */
    private fun nextTimeout(): Pair<Next, Duration> {
        val progress = nextWithoutProgress()
        val undecided = live.minBy { it.beginDecisionAt }
        return if (undecided.beginDecisionAt < progress.second) Next.BeginDecision(undecided) to undecided.beginDecisionAt else progress
    }

    private fun nextWithoutProgress(): Pair<Next, Duration> {
        val deadline = Next.OutOfTime to context.deadline
        if (!kind.retryable) return deadline
        val progressAt = live.maxOf { it.relay.progressAt }
        val silence = progressAt + progressTimeout() / 2
        val takeOver = maxOf(progressAt + progressTimeout(), nextTakeOverAt)
        return when {
            live.any { !it.isReportedSilent } && silence < context.deadline -> Next.Silence to silence
            mayTakeOver() && takeOver < context.deadline -> Next.TakeOver to takeOver
            else -> deadline
        }
    }

    private fun mayTakeOver(): Boolean = relay.mayContinue && runs + live.size < context.route.attempts

    private fun progressTimeout(): Duration =
        when (kind) {
            RequestKind.Idempotent, RequestKind.AtMostOnce -> limits.progress
            is RequestKind.Stream -> kind.progressTimeout(context.route.latencyObjective)
        }

    /** Gives [attempt] up if its request must not begin any more, as if its back end had been lost. */
    private suspend fun decideBegin(attempt: LiveAttempt): Outcome? {
        val limit = control.thread.decide { control.placement.beginLimit(attempt.backEnd, control.clock.elapsed()) }
        attempt.beginLimit = limit
        return when (limit) {
            is BeginLimit.Open -> null
            is BeginLimit.Passed ->
                onResult(
                    attempt,
                    DirectAttemptResult.NotBegun("not begun by the limit of version ${limit.required.number}"),
                )
        }
    }

    private suspend fun onSilence() {
        val silent = live.filter { !it.isReportedSilent }.onEach { it.isReportedSilent = true }
        control.thread.decide { silent.forEach { control.placement.onSilent(it.backEnd.id) } }
    }

    /** Starts an attempt at another back end if one has a place, and keeps the others. */
    private suspend fun takeOver() {
        nextTakeOverAt = control.clock.elapsed() + TAKE_OVER_INTERVAL
        val silent = live.map { it.backEnd }
        val placed = withContext(NonCancellable) { places.takeOver(silent.map { it.id })?.also { startAt(it) } }
        // Connections that are kept to a silent back end may be dead as well.
        if (placed != null) silent.forEach { client.discardIdleConnections(it) }
    }

    /** Handles an event of [attempt], or the result of one that could not be sent; returns the outcome if that decides it. */
    private suspend fun onEvent(
        attempt: LiveAttempt,
        event: Either<DirectAttemptResult, ResponseEvent>,
    ): Outcome? {
        val beginsNow = attempt.relay.firstEventAt == null
        val isResumed = relay.lastEvent != null || call.request.resumeAfter != null
        val result =
            when (event) {
                is Either.Left -> event.value
                is Either.Right -> {
                    heed(event.value, attempt)
                    attempt.relay.onEvent(event.value)
                }
            }
        if (beginsNow) lateVersion(attempt, isResumed)?.let { onLateVersion(call, it) }
        reportProgress(attempt)
        return result?.let { onResult(attempt, it) }
    }

    /** Returns what to log if the first event of [attempt] has come on too old a version. */
    private fun lateVersion(
        attempt: LiveAttempt,
        isResumed: Boolean,
    ): LateVersion? {
        val begunAt = attempt.relay.firstEventAt ?: return null
        val versions = attempt.versions ?: return null
        val declared = versions.number?.let { versions.known.violated(it, begunAt) } ?: return null
        return LateVersion(attempt.backEnd.id, declared, begunAt - declared.countsFrom, versions, isResumed)
    }

    /** Passes on what the back end says of itself, before anything else is decided about this answer. */
    private suspend fun heed(
        event: ResponseEvent,
        attempt: LiveAttempt,
    ) {
        val notices = (event as? ResponseEvent.Head)?.head?.notices.orEmpty()
        if (notices.isEmpty()) return
        control.thread.decide { notices.forEach { control.notices.onNoticeReceived(attempt.backEnd.run, it, control.clock.elapsed()) } }
    }

    private suspend fun supersedeOthers(attempt: LiveAttempt) {
        if (live.size == 1) return
        for (other in live - attempt) {
            runs++
            end(other, DirectAttemptResult.Superseded)
        }
    }

    private suspend fun reportProgress(attempt: LiveAttempt) {
        val hasAnswered = parts.isNotEmpty() && attempt.relay.wentOn && !attempt.isAnswerReported
        val speaksAgain = attempt.isReportedSilent && control.clock.elapsed() - attempt.relay.progressAt < progressTimeout() / 2
        if (!hasAnswered && !speaksAgain) return
        if (hasAnswered) attempt.isAnswerReported = true
        if (speaksAgain) attempt.isReportedSilent = false
        control.thread.decide {
            if (hasAnswered) control.suspicions.onAnswered(parts, control.clock.elapsed())
            if (speaksAgain) control.placement.onNoLongerSilent(attempt.backEnd.id)
        }
    }

    private suspend fun onResult(
        attempt: LiveAttempt,
        result: DirectAttemptResult,
    ): Outcome? {
        end(attempt, result)
        return when (result) {
            is DirectAttemptResult.Completed -> Outcome.Completed(result.length, null)
            is DirectAttemptResult.NotRun -> onNotRun(result.detail, costsRetry = result.reached)
            is DirectAttemptResult.Withdrawn -> onNotRun(result.detail, costsRetry = false)
            is DirectAttemptResult.Lost -> onLost(result)
            is DirectAttemptResult.NotBegun -> onLost(DirectAttemptResult.Lost(result.detail))
            is DirectAttemptResult.Failed -> onFailed(result)
            is DirectAttemptResult.OutOfTime, DirectAttemptResult.Superseded -> null
        }
    }

    /** Ends [attempt] with [result], null if its caller has left, and reports its outcome to the controllers. */
    private suspend fun end(
        attempt: LiveAttempt,
        result: DirectAttemptResult?,
    ) {
        live -= attempt
        attempt.abandon()
        if (result != null) call.attempts += AttemptRecord(attempt.backEnd.id, result.describe(), attempt.relay.events, attempt.versions)
        val outcome = result?.outcome ?: AttemptOutcome.ABANDONED
        withContext(NonCancellable) {
            control.thread.decide {
                val now = control.clock.elapsed()
                if (crashed(attempt, result)) control.suspicions.onCrash(attempt.backEnd, parts, now)
                if (attempt.isReportedSilent) control.placement.onNoLongerSilent(attempt.backEnd.id)
                val times = AttemptTimes(now - attempt.startedAt, attempt.relay.firstProgressAt?.let { it - attempt.startedAt })
                control.placement.onAttemptEnded(attempt.backEnd.id, context.customer?.id, outcome, now, times)
            }
        }
    }

    /** Returns whether the back end may have crashed on this request. */
    private fun crashed(
        attempt: LiveAttempt,
        result: DirectAttemptResult?,
    ): Boolean = result is DirectAttemptResult.Lost && result.disconnected && !attempt.relay.wentOn

    private suspend fun onNotRun(
        detail: String,
        costsRetry: Boolean,
    ): Outcome? {
        rejections++
        if (live.isNotEmpty()) return null
        val retry = rejections <= limits.rejections && (!costsRetry || takeRetry())
        return if (retry) null else finalOutcome(detail)
    }

    private suspend fun onLost(result: DirectAttemptResult.Lost): Outcome? {
        runs++
        mayHaveRun = result
        if (live.isNotEmpty()) return null
        val retry = kind.retryable && relay.mayContinue && runs < context.route.attempts && takeRetry()
        return if (retry) null else finalOutcome(result.detail)
    }

    private suspend fun onFailed(result: DirectAttemptResult.Failed): Outcome? {
        runs++
        if (live.isNotEmpty()) return null
        val retry = kind is RequestKind.Idempotent && runs < context.route.attempts && takeRetry()
        if (retry) return null
        return Outcome.Completed(relay.forwardErrorResponse(), null).also { call.lastFailure = failure("status ${result.status}") }
    }

    private suspend fun takeRetry(): Boolean {
        hasTakenRetry =
            control.thread.decide {
                control.retryBudget.spend(context.service, control.peers.entryCount(control.clock.elapsed()), control.clock.elapsed())
            }
        return hasTakenRetry
    }

    private suspend fun refusedOutcome(placement: Placement.Refused): Outcome {
        if (relay.started || mayHaveRun != null || relay.holdsErrorResponse) return finalOutcome(placement.reason)
        call.lastFailure = failure(placement.reason)
        return Outcome.Refused(placement.refusal, Step.CHOOSE_TARGET, Peer.SELF)
    }

    private suspend fun onDeadline(): Outcome {
        if (!call.mayBeSent) return refusedOutcome(places.tooLate())
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

    private companion object {
        val SLOW_READER_MARGIN = 200.milliseconds

        /** The time after which another place is looked for if there was none for a request that makes no progress. */
        val TAKE_OVER_INTERVAL = 200.milliseconds
    }
}

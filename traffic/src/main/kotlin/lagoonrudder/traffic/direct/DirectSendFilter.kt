/**
 * Sends a request to a back end, again where that is safe, until it has an answer or a truthful end.
 *
 * A request that may run at most once is sent again only after a proof that it did not run: a connection that never opened
 * or an answer that says so. Anything else ends as unknown. A stream that may resume goes on after its last whole event
 * within the same answer. Every repeat that may reach a back end draws on the budget that all entry daemons share.
 */
package lagoonrudder.traffic.direct

import arrow.core.getOrElse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.direct.AttemptOutcome
import lagoonrudder.control.direct.Placement
import lagoonrudder.control.direct.PlacementRequest
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
 * [maxWait] is the part of a route's objective that a request may wait for a place, [resume] how long a stream that has
 * begun may; [firstEvent] and [nextEvent] bound the silence of a back end whose request may go elsewhere; [refusals] bounds
 * the back ends that may turn one request away.
 */
data class DirectLimits(
    val maxWait: Double = 0.1,
    val firstEvent: Duration = 1_200.milliseconds,
    val nextEvent: Duration = 1_000.milliseconds,
    val resume: Duration = 800.milliseconds,
    val refusals: Int = 4,
    val retryAfter: Duration = 1.seconds,
)

class DirectSendFilter(
    private val control: DirectControl,
    private val link: BackEndClient,
    private val limits: DirectLimits,
) : Filter<DirectCall> {
    override suspend fun handle(
        call: DirectCall,
        next: NextFilter<DirectCall>,
    ): Outcome = DirectSending(call, control, link, limits).run()
}

/** How one attempt ended. */
internal sealed class DirectResult {
    data class Completed(
        val length: Long,
    ) : DirectResult()

    /** The request did not run there. [reached] tells whether it arrived. */
    data class NotRun(
        val reached: Boolean,
        val detail: String,
    ) : DirectResult()

    /** The request may have run there, and no answer can be passed on. */
    data class Lost(
        val detail: String,
        val silent: Boolean = false,
    ) : DirectResult()

    /** The caller's or the route's time ended; [silent] when the back end had sent nothing at all. */
    data class OutOfTime(
        val silent: Boolean,
    ) : DirectResult()

    /** The back end ran the request and failed it; [relay] holds that answer. */
    data class Failed(
        val status: Int,
    ) : DirectResult()
}

private class DirectSending(
    private val call: DirectCall,
    private val control: DirectControl,
    private val link: BackEndClient,
    private val limits: DirectLimits,
) {
    private val context = call.context
    private val kind = context.route.kind
    private val relay = DirectRelay(call, control.clock)
    private val excluded = mutableSetOf<TargetId>()
    private var runs = 0
    private var refusals = 0
    private var mayHaveRun: DirectResult.Lost? = null
    private var number: WeightNumber? = null

    suspend fun run(): Outcome {
        control.thread.decide { control.repeats.recordRequest(context.service, control.clock.elapsed()) }
        // Waits within an attempt end by themselves; this limit is for a caller that does not read.
        return withTimeoutOrNull(context.timeLeft(control.clock) + SLOW_READER_MARGIN) { attempts() } ?: outOfTime()
    }

    private suspend fun attempts(): Outcome {
        while (true) {
            val backEnd =
                when (val placement = place()) {
                    is Placement.Placed -> placement.backEnd.also { number = placement.number }
                    is Placement.Refused -> return nowhere(placement)
                }
            val result = counted(backEnd) { attempt(backEnd) }
            call.attempts += AttemptRecord(backEnd.id, describe(result))
            excluded += backEnd.id
            val outcome =
                when (result) {
                    is DirectResult.Completed -> return Outcome.Completed(result.length, null)
                    is DirectResult.NotRun -> afterNotRun(result)
                    is DirectResult.Lost -> afterLoss(result)
                    is DirectResult.OutOfTime -> return outOfTime()
                    is DirectResult.Failed -> afterFailure(result)
                }
            if (outcome != null) return outcome
        }
    }

    private suspend fun place(): Placement {
        val asked = control.clock.elapsed()
        val timeLeft = context.timeLeft(control.clock)
        if (timeLeft <= Duration.ZERO) return Placement.Refused(Refusal.TooLate(limits.retryAfter), "time is over")
        val maxWait = minOf(maxWait(), timeLeft)
        val priority = if (relay.begun) FIRST else context.priority
        val need =
            PlacementRequest(
                service = context.service,
                customer = context.customer?.id,
                priority = priority,
                homeRegions = context.homeRegions,
                excluded = excluded.toSet(),
                number = relay.number,
                promptTokens = call.request.promptTokens ?: 0,
                isLate = context.isLate,
            )
        val decision =
            withContext(NonCancellable) {
                control.thread.decide { control.placement.place(need, maxWait, control.clock.elapsed()) }
            }
        var taken = false
        try {
            val placement =
                withTimeoutOrNull(maxWait) { decision.await() } ?: run {
                    control.thread.decide { control.placement.onWaitTimeout(decision, control.clock.elapsed()) }
                    decision.await()
                }
            return placement.also { taken = true }
        } finally {
            call.queueTime += control.clock.elapsed() - asked
            if (!taken) withContext(NonCancellable) { control.thread.decide { giveBack(decision) } }
        }
    }

    private fun maxWait(): Duration =
        when {
            relay.begun -> limits.resume
            call.attempts.isEmpty() -> context.route.latencyObjective * limits.maxWait
            else -> REPEAT_PATIENCE
        }

    /** Frees the place of a request whose coroutine ended while it waited; runs on the control thread. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun giveBack(decision: CompletableDeferred<Placement>) {
        if (!decision.isCompleted) return control.placement.cancelWaiting(decision)
        val placed = decision.getCompleted() as? Placement.Placed ?: return
        control.placement.ended(placed.backEnd.id, context.customer?.id, AttemptOutcome.ABANDONED, control.clock.elapsed())
    }

    /** Runs one attempt and tells the controllers how the back end did. */
    private suspend fun counted(
        backEnd: BackEnd,
        attempt: suspend () -> DirectResult,
    ): DirectResult {
        var end = AttemptOutcome.ABANDONED
        try {
            return attempt().also { end = endOf(it) }
        } finally {
            withContext(NonCancellable) {
                control.thread.decide { control.placement.ended(backEnd.id, context.customer?.id, end, control.clock.elapsed()) }
            }
        }
    }

    private suspend fun attempt(backEnd: BackEnd): DirectResult {
        val attempt =
            DirectAttempt(
                caller = call.request,
                backEnd = backEnd,
                customer = context.customer?.id,
                priority = context.priority,
                timeLeft = context.timeLeft(control.clock),
                number = number,
                resumeAfter = relay.last ?: call.request.resumeAfter,
            )
        val open = link.send(attempt).getOrElse { return DirectResult.NotRun(reached = false, it.describe()) }
        try {
            return receive(open, backEnd)
        } finally {
            open.abandon()
        }
    }

    private suspend fun receive(
        open: OpenAttempt,
        backEnd: BackEnd,
    ): DirectResult {
        relay.newAttempt()
        while (true) {
            val result =
                when (val next = nextOf(open)) {
                    is Next.Event -> relay.take(next.event, kind)
                    Next.Silence -> silent(backEnd)
                    Next.OutOfTime -> DirectResult.OutOfTime(silent = !relay.heard)
                }
            if (result != null) return result
        }
    }

    /** What the wait for the next event brought. */
    private sealed class Next {
        class Event(
            val event: ResponseEvent,
        ) : Next()

        /** The back end was silent for too long, and another one may be tried. */
        data object Silence : Next()

        data object OutOfTime : Next()
    }

    private suspend fun nextOf(open: OpenAttempt): Next {
        val mayMove = kind.retryable && runs + 1 < context.route.attempts
        val limit = if (relay.begun) limits.nextEvent else limits.firstEvent
        if (mayMove && limit < context.timeLeft(control.clock)) {
            withTimeoutOrNull(limit) { open.next() }?.let { return Next.Event(it) }
            if (spend()) return Next.Silence
        }
        val event = withTimeoutOrNull(context.timeLeft(control.clock)) { open.next() }
        return if (event == null) Next.OutOfTime else Next.Event(event)
    }

    private fun silent(backEnd: BackEnd): DirectResult {
        link.discardIdleConnections(backEnd)
        return DirectResult.Lost("silent", silent = true)
    }

    private suspend fun afterNotRun(result: DirectResult.NotRun): Outcome? {
        refusals++
        val again = refusals <= limits.refusals && (!result.reached || spend())
        return if (again) null else ended(result.detail)
    }

    private suspend fun afterLoss(result: DirectResult.Lost): Outcome? {
        runs++
        mayHaveRun = result
        val again = kind.retryable && runs < context.route.attempts && (result.silent || spend())
        return if (again) null else ended(result.detail)
    }

    private suspend fun afterFailure(result: DirectResult.Failed): Outcome? {
        runs++
        val again = kind is RequestKind.Idempotent && runs < context.route.attempts && spend()
        if (again) return null
        return Outcome.Completed(relay.passFailure(), null).also { call.lastFailure = failure("status ${result.status}") }
    }

    private suspend fun spend(): Boolean =
        control.thread.decide {
            control.repeats.spend(context.service, control.peers.entryCount(control.clock.elapsed()), control.clock.elapsed())
        }

    private suspend fun nowhere(placement: Placement.Refused): Outcome {
        if (relay.holdsFailure) return Outcome.Completed(relay.passFailure(), null)
        if (relay.begun || mayHaveRun != null) return ended(placement.reason)
        call.lastFailure = failure(placement.reason)
        return Outcome.Refused(placement.refusal, Step.CHOOSE_TARGET, Peer.SELF)
    }

    private suspend fun outOfTime(): Outcome {
        if (relay.holdsFailure) return Outcome.Completed(relay.passFailure(), null)
        mayHaveRun = mayHaveRun ?: DirectResult.Lost("time is over")
        return ended("time is over")
    }

    /** The truthful end of a request that gets no answer from a back end. */
    private fun ended(detail: String): Outcome {
        val failure = failure(detail)
        call.lastFailure = failure
        return when {
            relay.begun -> Outcome.Broken(failure)
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

    private fun endOf(result: DirectResult): AttemptOutcome =
        when (result) {
            is DirectResult.Completed -> AttemptOutcome.ANSWERED
            is DirectResult.NotRun -> if (result.reached) AttemptOutcome.NOT_RUN else AttemptOutcome.UNREACHABLE
            is DirectResult.Lost -> if (result.silent) AttemptOutcome.TIMED_OUT else AttemptOutcome.FAILED
            is DirectResult.OutOfTime -> if (result.silent) AttemptOutcome.TIMED_OUT else AttemptOutcome.ABANDONED
            is DirectResult.Failed -> AttemptOutcome.FAILED
        }

    private fun describe(result: DirectResult): String =
        when (result) {
            is DirectResult.Completed -> "answered"
            is DirectResult.NotRun -> "not-run:${result.detail}"
            is DirectResult.Lost -> "lost:${result.detail}"
            is DirectResult.OutOfTime -> "out-of-time"
            is DirectResult.Failed -> "failed:${result.status}"
        }

    private companion object {
        /** A stream that has begun goes before requests of every priority. */
        const val FIRST = -1

        /** A repeat has lost time already; it takes a free place or none. */
        val REPEAT_PATIENCE = 60.milliseconds
        val SLOW_READER_MARGIN = 200.milliseconds
    }
}

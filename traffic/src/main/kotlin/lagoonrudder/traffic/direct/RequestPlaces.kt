/**
 * Takes places at back ends for one request: for its first attempt, for a retry, for the rest of a stream, or beside a back end that
 * makes no progress. No back end is taken twice.
 */
package lagoonrudder.traffic.direct

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.direct.AttemptOutcome
import lagoonrudder.control.direct.Placement
import lagoonrudder.control.direct.PlacementRequest
import lagoonrudder.control.direct.PlacementTicket
import lagoonrudder.control.direct.admission.WaitLimit
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestKind
import lagoonrudder.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class RequestPlaces(
    private val call: DirectCall,
    private val control: DirectControl,
    private val relay: DirectRelay,
    private val limits: DirectLimits,
) {
    private val context = call.context
    private val parts = call.request.sharedParts.toSet()
    private val excluded = mutableSetOf<TargetId>()

    /** Takes no further place at [target]. */
    fun exclude(target: TargetId) {
        excluded += target
    }

    /** Takes a place, for which the request may wait; [mayHaveRun] tells whether a back end may have run it already. */
    suspend fun take(mayHaveRun: Boolean): Placement {
        val startedAt = control.clock.elapsed()
        val timeLeft = context.timeLeft(control.clock)
        if (timeLeft <= Duration.ZERO) return tooLate()
        val request = placementRequest(waitLimit(timeLeft), mayHaveRun)
        val ticket = withContext(NonCancellable) { control.thread.decide { place(request) } }
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
            if (!received) withContext(NonCancellable) { control.thread.decide { release(decision) } }
        }
    }

    /** The refusal of a request whose time is over before it was sent. */
    fun tooLate() = Placement.Refused(Refusal.TooLate(limits.retryAfter), "time is over")

    /** Takes a place beside the [silent] back ends; returns null if there is none or the retry budget is spent. */
    suspend fun takeOver(silent: List<TargetId>): Placement.Placed? {
        val request = placementRequest(WaitLimit.Within(Duration.ZERO), mayHaveRun = true)
        return control.thread.decide { placeTakeOver(request, silent) }
    }

    /** Returns [taken], a place taken at or before [takenAt], as it is now; null if the request may not go there any more. */
    suspend fun confirm(
        taken: Placement.Placed,
        takenAt: Duration,
    ): Placement.Placed? {
        val others = excluded - taken.backEnd.id
        val request = placementRequest(WaitLimit.Within(Duration.ZERO), mayHaveRun = others.isNotEmpty(), others)
        return control.thread.decide { control.placement.confirm(taken.backEnd, request, takenAt, control.clock.elapsed(), taken.isProbe) }
    }

    /** Runs on the control thread. */
    private fun placeTakeOver(
        request: PlacementRequest,
        silent: List<TargetId>,
    ): Placement.Placed? {
        val now = control.clock.elapsed()
        val entries = control.peers.entryCount(now)
        if (!control.retryBudget.allows(context.service, entries, now)) return null
        return control.placement.placeTakeOver(request, silent, now)?.also { control.retryBudget.spend(context.service, entries, now) }
    }

    /** Runs on the control thread. */
    private fun place(request: PlacementRequest): PlacementTicket {
        val now = control.clock.elapsed()
        if (call.attempts.isEmpty()) control.retryBudget.recordRequest(context.service, now)
        return control.placement.place(request, now)
    }

    /** Releases the place of a request whose coroutine was cancelled while it waited; runs on the control thread. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun release(decision: CompletableDeferred<Placement>) {
        if (!decision.isCompleted) return control.placement.withdraw(decision)
        val placed = decision.getCompleted() as? Placement.Placed ?: return
        control.placement.onAttemptEnded(placed.backEnd.id, context.customer?.id, AttemptOutcome.ABANDONED, control.clock.elapsed())
    }

    private fun placementRequest(
        wait: WaitLimit,
        mayHaveRun: Boolean,
        excluded: Set<TargetId> = this.excluded,
    ) = PlacementRequest(
        service = context.service,
        customer = context.customer?.id,
        rank = if (relay.started) RESUME_RANK else context.rank,
        homeRegions = context.homeRegions,
        excluded = excluded.toSet(),
        number = relay.number,
        promptTokens = call.request.promptTokens ?: 0,
        isLate = context.isLate && !relay.started,
        wait = wait,
        timeLeft = context.timeLeft(control.clock),
        parts = parts,
        mayHaveRun = mayHaveRun,
    )

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
        when (val kind = context.route.kind) {
            RequestKind.Idempotent, RequestKind.AtMostOnce -> Duration.INFINITE
            is RequestKind.Stream -> kind.callerPatience(context.route.latencyObjective)
        }

    private companion object {
        /** A stream that has started precedes requests of every rank. */
        const val RESUME_RANK = Int.MIN_VALUE

        /** A retry is already delayed, so it takes a free slot within this time or none. */
        val RETRY_MAX_WAIT = 60.milliseconds
    }
}

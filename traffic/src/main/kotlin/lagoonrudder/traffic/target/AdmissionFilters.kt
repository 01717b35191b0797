/**
 * The filters of a target daemon that let an attempt in or turn it away.
 *
 * All of them refuse before anything reaches the back end, so every refusal here is a true "not run".
 */
package lagoonrudder.traffic.target

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.EngineResult
import lagoonrudder.control.RunDecision
import lagoonrudder.model.Clock
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import lagoonrudder.model.Step
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next
import kotlin.time.Duration.Companion.milliseconds

private val RETRY = 100.milliseconds

private fun refused(
    refusal: Refusal,
    step: Step,
): Outcome = Outcome.Refused(refusal, step, Peer.SELF)

/** Waits briefly for a set that the sender has already, and refuses without it. */
class FreshConfigurationFilter(
    private val control: TargetControl,
) : Filter<TargetCall> {
    override suspend fun handle(
        call: TargetCall,
        next: Next<TargetCall>,
    ): Outcome {
        val wanted = call.run.revision.number
        val reached =
            control.revision.value >= wanted ||
                withTimeoutOrNull(TargetControl.CATCH_UP_LIMIT) { control.revision.first { it >= wanted } } != null
        return if (reached) next.proceed(call) else refused(Refusal.NotServing(RETRY, "older configuration"), Step.ACCEPT_CONFIGURATION)
    }
}

/** Refuses an attempt that the loaded weights may not answer. */
class VersionFilter(
    private val control: TargetControl,
) : Filter<TargetCall> {
    override suspend fun handle(
        call: TargetCall,
        next: Next<TargetCall>,
    ): Outcome {
        val refusal =
            control.thread.decide {
                call.version = control.switch.servingVersion()
                control.switch.refusal() ?: wrongVersion(call)
            }
        return if (refusal == null) next.proceed(call) else refused(refusal, Step.VERIFY_VERSION)
    }

    private fun wrongVersion(call: TargetCall): Refusal? {
        val version = call.version ?: return null
        return if (version in call.run.versions) null else Refusal.WrongVersion(RETRY)
    }
}

/** Admits an attempt within the limits of the instance, after a short wait if need be, and releases what it held at its end. */
class LimitFilter(
    private val control: TargetControl,
    private val clock: Clock,
) : Filter<TargetCall> {
    override suspend fun handle(
        call: TargetCall,
        next: Next<TargetCall>,
    ): Outcome {
        val request = call.run.request
        val turn = control.thread.decide { control.admit(request, call.version, call.run.tokens) }
        val refusal = awaitTurn(call, turn)
        if (refusal != null) return refused(refusal, Step.ADMIT)
        call.admitted = clock.elapsed()
        try {
            return next.proceed(call)
        } finally {
            withContext(NonCancellable) { control.thread.decide { control.onRequestFinished(request, call.result) } }
        }
    }

    /** Waits for the turn; a caller that goes away while it waits, or just as it is admitted, gives its place back. */
    private suspend fun awaitTurn(
        call: TargetCall,
        turn: Deferred<Refusal?>,
    ): Refusal? {
        if (turn.isCompleted) return turn.await()
        val request = call.run.request
        try {
            withTimeoutOrNull(minOf(LONGEST_WAIT, call.run.timeLeft)) { turn.join() }
        } catch (gone: CancellationException) {
            withContext(NonCancellable) { control.thread.decide { abandon(request, turn) } }
            throw gone
        }
        return if (turn.isCompleted) turn.await() else control.thread.decide { control.abandonAdmission(request) }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun abandon(
        request: RequestId,
        turn: Deferred<Refusal?>,
    ) {
        if (!turn.isCompleted) {
            control.abandonAdmission(request)
            return
        }
        val admitted = turn.getCompleted() == null
        if (admitted) control.onRequestFinished(request, EngineResult.Cancelled)
    }

    private companion object {
        val LONGEST_WAIT = 500.milliseconds
    }
}

/** Lets a request that may run at most once pass with a good permit only. */
class PermitFilter(
    private val control: TargetControl,
    private val clock: Clock,
) : Filter<TargetCall> {
    override suspend fun handle(
        call: TargetCall,
        next: Next<TargetCall>,
    ): Outcome {
        val permit = call.run.permit ?: return next.proceed(call)
        val decision = control.thread.decide { control.repeats.beginRun(permit.key, permit.number, clock.elapsed()) }
        return when (decision) {
            RunDecision.Run -> next.proceed(call)
            is RunDecision.Refused -> refused(decision.refusal, Step.GUARD_REPEATS)
        }
    }
}

/**
 * The filters of a target daemon that admit or refuse an attempt.
 *
 * All of them refuse before anything reaches the back end, so every refusal here proves that the attempt did not run.
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

/** Waits briefly for the configuration revision that the sender already has, and refuses the attempt without it. */
class FreshConfigurationFilter(
    private val control: TargetControl,
) : Filter<TargetCall> {
    override suspend fun handle(
        call: TargetCall,
        next: Next<TargetCall>,
    ): Outcome {
        val required = call.run.revision.number
        val reached =
            control.revision.value >= required ||
                withTimeoutOrNull(TargetControl.CATCH_UP_LIMIT) { control.revision.first { it >= required } } != null
        return if (reached) next.proceed(call) else refused(Refusal.NotServing(RETRY, "older configuration"), Step.ACCEPT_CONFIGURATION)
    }
}

/** Refuses an attempt that the loaded version of the weights may not serve. */
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

/** Admits an attempt within the limits of the instance, after a short wait if necessary, and releases its share at its end. */
class LimitFilter(
    private val control: TargetControl,
    private val clock: Clock,
) : Filter<TargetCall> {
    override suspend fun handle(
        call: TargetCall,
        next: Next<TargetCall>,
    ): Outcome {
        val request = call.run.request
        val admission = control.thread.decide { control.admit(request, call.version, call.run.tokens) }
        val refusal = awaitAdmission(call, admission)
        if (refusal != null) return refused(refusal, Step.ADMIT)
        call.admitted = clock.elapsed()
        try {
            return next.proceed(call)
        } finally {
            withContext(NonCancellable) { control.thread.decide { control.onRequestFinished(request, call.result) } }
        }
    }

    /** Waits for admission; a caller that disconnects while it waits, or just as it is admitted, releases its slot. */
    private suspend fun awaitAdmission(
        call: TargetCall,
        admission: Deferred<Refusal?>,
    ): Refusal? {
        if (admission.isCompleted) return admission.await()
        val request = call.run.request
        try {
            withTimeoutOrNull(minOf(MAX_WAIT, call.run.timeLeft)) { admission.join() }
        } catch (cancelled: CancellationException) {
            withContext(NonCancellable) { control.thread.decide { abandon(request, admission) } }
            throw cancelled
        }
        return if (admission.isCompleted) admission.await() else control.thread.decide { control.abandonAdmission(request) }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun abandon(
        request: RequestId,
        admission: Deferred<Refusal?>,
    ) {
        if (!admission.isCompleted) {
            control.abandonAdmission(request)
            return
        }
        val admitted = admission.getCompleted() == null
        if (admitted) control.onRequestFinished(request, EngineResult.Cancelled)
    }

    private companion object {
        val MAX_WAIT = 500.milliseconds
    }
}

/** Admits a request that may run at most once only with a valid permit. */
class PermitFilter(
    private val control: TargetControl,
    private val clock: Clock,
) : Filter<TargetCall> {
    override suspend fun handle(
        call: TargetCall,
        next: Next<TargetCall>,
    ): Outcome {
        val permit = call.run.permit ?: return next.proceed(call)
        val decision = control.thread.decide { control.idempotency.beginRun(permit.key, permit.number, clock.elapsed()) }
        return when (decision) {
            RunDecision.Run -> next.proceed(call)
            is RunDecision.Refused -> refused(decision.refusal, Step.GUARD_REPEATS)
        }
    }
}

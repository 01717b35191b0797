/**
 * Runs an attempt on the back end and forwards its response.
 *
 * An engine's response is verified at its start, in its bytes and at its end: one version must have served it, and it must be
 * the version that was admitted. A plain call that may run at most once is not cancelled when its caller disconnects, so that
 * a retry finds its response.
 */
package lagoonrudder.traffic.target

import arrow.core.Either
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.mapNotNull
import kotlinx.coroutines.withContext
import lagoonrudder.control.EngineResult
import lagoonrudder.control.RecordedResponse
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
import lagoonrudder.traffic.ProgressLimits
import lagoonrudder.traffic.ResponseVerifier
import lagoonrudder.traffic.RunEvent
import lagoonrudder.traffic.RunPermit
import lagoonrudder.traffic.Work
import lagoonrudder.traffic.checksumOf
import lagoonrudder.traffic.withProgressLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The timeouts for the first token of an engine and for each further one. */
data class EngineLimits(
    val firstToken: Duration = 2500.milliseconds,
    val nextToken: Duration = 1500.milliseconds,
)

class RunFilter(
    private val control: TargetControl,
    private val backEnd: LocalBackEnd,
    private val clock: Clock,
    private val invariants: Invariants,
    private val limits: EngineLimits,
) : Filter<TargetCall> {
    override suspend fun handle(
        call: TargetCall,
        next: Next<TargetCall>,
    ): Outcome =
        when (val work = call.run.work) {
            is Work.Generate -> Generation(call, work).run()
            is Work.Plain -> callPlain(call, work)
        }

    private inner class Generation(
        private val call: TargetCall,
        private val work: Work.Generate,
    ) {
        private val verifier = ResponseVerifier(call.run.offset)
        private var started = false

        suspend fun run(): Outcome {
            val request = GenerateRequest(call.run.request, work, call.run.offset, call.run.priority)
            val progress = ProgressLimits(limits.firstToken, limits.nextToken)
            val outcome =
                backEnd
                    .generate(request)
                    .withProgressLimits(progress, Step.RUN, PEER)
                    .mapNotNull { event -> event.fold({ failed(it) }, { onEvent(it) }) }
                    .firstOrNull()
            return outcome ?: failed(Failure.Interrupted(Step.RUN, PEER, "the engine's response ended without its end mark"))
        }

        private suspend fun onEvent(event: EngineEvent): Outcome? =
            when (event) {
                is EngineEvent.Started -> onStarted(event)
                is EngineEvent.Text -> onText(event)
                is EngineEvent.Ended -> onEnded(event)
            }

        private suspend fun onStarted(event: EngineEvent.Started): Outcome? {
            control.thread.decide { control.limits.onEngineIncarnation(event.incarnation) }
            if (event.version != call.version) return onWrongVersion("the engine started with version ${event.version.text}")
            started = true
            call.emit(RunEvent.Head(call.run.request, call.run.attempt, event.version, OK, "text/plain"))
            return null
        }

        private suspend fun onText(event: EngineEvent.Text): Outcome? {
            if (call.result is EngineResult.Cancelled) call.result = EngineResult.Answered(clock.elapsed() - call.admitted)
            if (!started || !verifier.append(event.offset, event.data)) return failed(damaged("data at unexpected offset ${event.offset}"))
            call.emit(RunEvent.Bytes(event.offset, event.data, checksumOf(event.data)))
            return null
        }

        private suspend fun onEnded(event: EngineEvent.Ended): Outcome {
            if (event.version != call.version) return onWrongVersion("the engine ended with version ${event.version.text}")
            if (!verifier.matchesEnd(event.length, event.checksum)) return failed(damaged("response length or checksum mismatch"))
            invariants.check(started, Invariant.WHOLE_WEIGHTS_ONLY, Step.RUN, PEER) { "request=${call.run.request.text}" }
            call.emit(RunEvent.End(event.length, verifier.checksum, currentLoad()))
            return Outcome.Completed(event.length, event.version)
        }

        private suspend fun onWrongVersion(detail: String): Outcome {
            control.thread.decide {
                control.switch.onEngineLost()
                control.publish()
            }
            return failed(damaged(detail))
        }

        private fun damaged(detail: String) = Failure.Damaged(Step.RUN, PEER, detail)

        private suspend fun failed(failure: Failure): Outcome {
            call.result = EngineResult.Failed
            if (failure is Failure.Unreachable || failure is Failure.Interrupted) control.thread.decide { control.switch.onEngineLost() }
            val declined = failure is Failure.Declined || failure is Failure.Unreachable
            if (declined && !started) return Outcome.Refused(Refusal.Overloaded(RETRY), Step.RUN, PEER)
            return Outcome.Broken(failure)
        }
    }

    private suspend fun callPlain(
        call: TargetCall,
        work: Work.Plain,
    ): Outcome {
        val permit = call.run.permit
        val response = if (permit == null) callBackEnd(call, work) else withContext(NonCancellable) { callWithPermit(call, work, permit) }
        call.result = response.fold({ EngineResult.Failed }, { EngineResult.Answered(Duration.ZERO) })
        return when (response) {
            is Either.Right -> emitResponse(call, response.value)
            is Either.Left -> plainFailure(response.value)
        }
    }

    private suspend fun callBackEnd(
        call: TargetCall,
        work: Work.Plain,
    ): Either<Failure, RecordedResponse> = backEnd.call(work, call.run.request, call.run.timeLeft.coerceIn(MIN_TIMEOUT, MAX_TIMEOUT))

    private suspend fun callWithPermit(
        call: TargetCall,
        work: Work.Plain,
        permit: RunPermit,
    ): Either<Failure, RecordedResponse> {
        val response = callBackEnd(call, work)
        control.thread.decide { record(permit, response) }
        return response
    }

    private fun record(
        permit: RunPermit,
        response: Either<Failure, RecordedResponse>,
    ) {
        val now = clock.elapsed()
        response.fold(
            { if (provesNotRun(it)) control.idempotency.onNotRun(permit.key) else control.idempotency.onRunLost(permit.key, now) },
            { control.idempotency.onRunEnded(permit.key, it, now) },
        )
    }

    private fun provesNotRun(failure: Failure) = failure is Failure.Unreachable || failure is Failure.Declined

    private suspend fun emitResponse(
        call: TargetCall,
        response: RecordedResponse,
    ): Outcome {
        val verifier = ResponseVerifier(0)
        verifier.append(0, response.body)
        call.emit(RunEvent.Head(call.run.request, call.run.attempt, null, response.status, response.contentType))
        call.emit(RunEvent.Bytes(0, response.body, checksumOf(response.body)))
        call.emit(RunEvent.End(verifier.length, verifier.checksum, currentLoad()))
        return Outcome.Completed(verifier.length, null)
    }

    private suspend fun currentLoad() = control.thread.decide { control.limits.load() }

    private fun plainFailure(failure: Failure): Outcome =
        if (provesNotRun(failure)) Outcome.Refused(Refusal.Overloaded(RETRY), Step.RUN, PEER) else Outcome.Unknown(failure)

    private companion object {
        const val OK = 200
        val PEER = Peer(PeerRole.ENGINE, "slot")
        val RETRY = 200.milliseconds
        val MIN_TIMEOUT = 10.milliseconds
        val MAX_TIMEOUT = 60.seconds
    }
}

/** Returns the filters of a target daemon in their order. */
fun targetFilters(
    control: TargetControl,
    backEnd: LocalBackEnd,
    clock: Clock,
    invariants: Invariants,
    limits: EngineLimits,
): List<Filter<TargetCall>> =
    listOf(
        FreshConfigurationFilter(control),
        VersionFilter(control),
        LimitFilter(control, clock),
        PermitFilter(control, clock),
        RunFilter(control, backEnd, clock, invariants, limits),
    )

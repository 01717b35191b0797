/**
 * Runs an attempt on the back end and hands on its answer.
 *
 * An engine's answer is checked at its start, in its bytes and at its end: one version must have served it, and it must be
 * the version that was let in. A plain call that may run at most once is not cut off when its caller goes away, so that a
 * repeat finds its answer.
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
import lagoonrudder.traffic.ResponseVerifier
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next
import lagoonrudder.traffic.ProgressLimits
import lagoonrudder.traffic.RunEvent
import lagoonrudder.traffic.RunPermit
import lagoonrudder.traffic.Work
import lagoonrudder.traffic.checksumOf
import lagoonrudder.traffic.withProgressLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long an engine may stay silent before its first and between further tokens. */
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
        private val check = ResponseVerifier(call.run.offset)
        private var started = false

        suspend fun run(): Outcome {
            val request = GenerateRequest(call.run.request, work, call.run.offset, call.run.priority)
            val progress = ProgressLimits(limits.firstToken, limits.nextToken)
            val outcome =
                backEnd
                    .generate(request)
                    .withProgressLimits(progress, Step.RUN, PEER)
                    .mapNotNull { event -> event.fold({ failed(it) }, { takeIn(it) }) }
                    .firstOrNull()
            return outcome ?: failed(Failure.Interrupted(Step.RUN, PEER, "the engine's answer ended without its end mark"))
        }

        private suspend fun takeIn(event: EngineEvent): Outcome? =
            when (event) {
                is EngineEvent.Started -> start(event)
                is EngineEvent.Text -> text(event)
                is EngineEvent.Ended -> end(event)
            }

        private suspend fun start(event: EngineEvent.Started): Outcome? {
            control.thread.decide { control.limits.onEngineIncarnation(event.incarnation) }
            if (event.version != call.version) return mixed("the engine started with version ${event.version.text}")
            started = true
            call.emit(RunEvent.Head(call.run.request, call.run.attempt, event.version, OK, "text/plain"))
            return null
        }

        private suspend fun text(event: EngineEvent.Text): Outcome? {
            if (call.result is EngineResult.Cancelled) call.result = EngineResult.Answered(clock.elapsed() - call.admitted)
            if (!started || !check.follow(event.offset, event.data)) return failed(damaged("bytes out of order at offset ${event.offset}"))
            call.emit(RunEvent.Bytes(event.offset, event.data, checksumOf(event.data)))
            return null
        }

        private suspend fun end(event: EngineEvent.Ended): Outcome {
            if (event.version != call.version) return mixed("the engine ended with version ${event.version.text}")
            if (!check.endsWith(event.length, event.checksum)) return failed(damaged("length or checksum of the answer differ"))
            invariants.check(started, Invariant.WHOLE_WEIGHTS_ONLY, Step.RUN, PEER) { "request=${call.run.request.text}" }
            call.emit(RunEvent.End(event.length, check.checksum, roomNow()))
            return Outcome.Completed(event.length, event.version)
        }

        private suspend fun mixed(detail: String): Outcome {
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
        val answer = if (permit == null) callOnce(call, work) else withContext(NonCancellable) { callGuarded(call, work, permit) }
        call.result = answer.fold({ EngineResult.Failed }, { EngineResult.Answered(Duration.ZERO) })
        return when (answer) {
            is Either.Right -> emitAnswer(call, answer.value)
            is Either.Left -> plainFailure(answer.value)
        }
    }

    private suspend fun callOnce(
        call: TargetCall,
        work: Work.Plain,
    ): Either<Failure, RecordedResponse> = backEnd.call(work, call.run.request, call.run.timeLeft.coerceIn(SHORTEST, LONGEST))

    private suspend fun callGuarded(
        call: TargetCall,
        work: Work.Plain,
        permit: RunPermit,
    ): Either<Failure, RecordedResponse> {
        val answer = callOnce(call, work)
        control.thread.decide { record(permit, answer) }
        return answer
    }

    private fun record(
        permit: RunPermit,
        answer: Either<Failure, RecordedResponse>,
    ) {
        val now = clock.elapsed()
        answer.fold(
            { if (provesNotRun(it)) control.repeats.onNotRun(permit.key) else control.repeats.onRunLost(permit.key, now) },
            { control.repeats.onRunEnded(permit.key, it, now) },
        )
    }

    private fun provesNotRun(failure: Failure) = failure is Failure.Unreachable || failure is Failure.Declined

    private suspend fun emitAnswer(
        call: TargetCall,
        answer: RecordedResponse,
    ): Outcome {
        val check = ResponseVerifier(0)
        check.follow(0, answer.body)
        call.emit(RunEvent.Head(call.run.request, call.run.attempt, null, answer.status, answer.contentType))
        call.emit(RunEvent.Bytes(0, answer.body, checksumOf(answer.body)))
        call.emit(RunEvent.End(check.length, check.checksum, roomNow()))
        return Outcome.Completed(check.length, null)
    }

    private suspend fun roomNow() = control.thread.decide { control.limits.load() }

    private fun plainFailure(failure: Failure): Outcome =
        if (provesNotRun(failure)) Outcome.Refused(Refusal.Overloaded(RETRY), Step.RUN, PEER) else Outcome.Unknown(failure)

    private companion object {
        const val OK = 200
        val PEER = Peer(PeerRole.ENGINE, "slot")
        val RETRY = 200.milliseconds
        val SHORTEST = 10.milliseconds
        val LONGEST = 60.seconds
    }
}

/** The filters of a target daemon in their order. */
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

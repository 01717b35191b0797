/**
 * Handles the RPCs of entry daemons and of other target daemons at a target daemon.
 */
package lagoonrudder.daemon.target

import io.grpc.Status
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.IdempotencyDecision
import lagoonrudder.control.SurrenderResult
import lagoonrudder.control.SwitchReport
import lagoonrudder.control.TargetReport
import lagoonrudder.model.Clock
import lagoonrudder.model.Outcome
import lagoonrudder.traffic.FilterChain
import lagoonrudder.traffic.ReserveRequest
import lagoonrudder.traffic.RunEvent
import lagoonrudder.traffic.RunRequest
import lagoonrudder.traffic.SurrenderRequest
import lagoonrudder.traffic.target.KeyReservations
import lagoonrudder.traffic.target.TargetCall
import lagoonrudder.traffic.target.TargetControl
import lagoonrudder.wire.rpc.TargetService
import kotlin.math.abs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TargetRpcHandler(
    private val control: TargetControl,
    private val chain: FilterChain<TargetCall>,
    private val reservations: KeyReservations,
    private val clock: Clock,
) : TargetService {
    override fun run(request: RunRequest): Flow<RunEvent> =
        channelFlow {
            val call = TargetCall(request, clock.elapsed()) { send(it) }
            when (val outcome = chain.run(call)) {
                is Outcome.Completed -> Unit
                is Outcome.Refused -> send(RunEvent.NotRun(outcome.refusal, control.thread.decide { control.limits.load() }))
                is Outcome.Unknown -> throw Status.ABORTED.withDescription(outcome.failure.describe()).asException()
                is Outcome.Broken -> throw Status.ABORTED.withDescription(outcome.failure.describe()).asException()
            }
        }.buffer(Channel.RENDEZVOUS)

    override suspend fun reserve(request: ReserveRequest): IdempotencyDecision = reservations.reserve(request)

    override suspend fun surrender(request: SurrenderRequest): SurrenderResult = reservations.surrender(request)

    override fun reports(): Flow<TargetReport> =
        flow {
            while (true) {
                val sent = control.latestReport.value
                emit(sent)
                delay(MIN_REPORT_INTERVAL)
                withTimeoutOrNull(HEARTBEAT_INTERVAL - MIN_REPORT_INTERVAL) { control.latestReport.first { isSignificantChange(it, sent) } }
            }
        }

    override suspend fun switchReport(): SwitchReport = control.thread.decide { control.switch.report() }

    /** Whether [now] differs enough from [sent] to be reported before the next heartbeat. */
    private fun isSignificantChange(
        now: TargetReport,
        sent: TargetReport,
    ): Boolean {
        val stateChanged = now.accepting != sent.accepting || now.version != sent.version
        val fullnessChanged = isFull(sent) != isFull(now)
        val limitChanged = abs(now.load.limit - sent.load.limit) * MIN_LIMIT_CHANGE_DIVISOR > sent.load.limit
        return stateChanged || fullnessChanged || limitChanged
    }

    private fun isFull(report: TargetReport) = report.load.inFlight >= report.load.limit

    private companion object {
        val HEARTBEAT_INTERVAL = 1.seconds
        val MIN_REPORT_INTERVAL = 50.milliseconds

        /** A change of the limit by more than one part in this many is reported immediately. */
        const val MIN_LIMIT_CHANGE_DIVISOR = 4
    }
}

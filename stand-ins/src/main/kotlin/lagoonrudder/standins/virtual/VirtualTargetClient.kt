/**
 * Connections between entry daemons and target daemons in virtual time, with faults at every step of an exchange.
 */
package lagoonrudder.standins.virtual

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.RepeatDecision
import lagoonrudder.control.Surrender
import lagoonrudder.control.SwitchReport
import lagoonrudder.control.TargetReport
import lagoonrudder.model.Failure
import lagoonrudder.model.Instance
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.RequestId
import lagoonrudder.model.Step
import lagoonrudder.model.TargetId
import lagoonrudder.traffic.ReserveRequest
import lagoonrudder.traffic.RunEvent
import lagoonrudder.traffic.RunRequest
import lagoonrudder.traffic.SurrenderRequest
import lagoonrudder.traffic.TargetLink
import lagoonrudder.traffic.target.TargetCall
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What happens to one exchange. */
sealed class ExchangeFault {
    data object None : ExchangeFault()

    /** The connection can't be opened: nothing is sent. */
    data object Refused : ExchangeFault()

    /** The request is lost after it left; the target never sees it. */
    data object RequestLost : ExchangeFault()

    /** The request arrives [late]. */
    data class RequestDelayed(
        val late: Duration,
    ) : ExchangeFault()

    /** The target runs the request and its answer breaks after [events] events. */
    data class ResponseAborted(
        val events: Int,
    ) : ExchangeFault()

    /** The answer falls silent after [events] events. */
    data class ResponseStalled(
        val events: Int,
    ) : ExchangeFault()

    /** The answer to another request comes first. */
    data object ResponseMismatched : ExchangeFault()

    /** A byte of the answer is changed on the way. */
    data object ResponseCorrupted : ExchangeFault()
}

/** Draws the fault of each exchange. */
fun interface FaultInjector {
    fun next(target: TargetId): ExchangeFault
}

class VirtualTargetClient(
    private val scope: CoroutineScope,
    private val targets: (TargetId) -> VirtualTarget?,
    private val latency: Duration,
    private val faults: FaultInjector,
) : TargetLink {
    override suspend fun reserve(
        target: Instance,
        request: ReserveRequest,
        limit: Duration,
    ): Either<Failure, RepeatDecision> = ask(target, limit, Step.GUARD_REPEATS) { it.reservations.reserve(request) }

    override suspend fun surrender(
        target: Instance,
        request: SurrenderRequest,
        limit: Duration,
    ): Either<Failure, Surrender> = ask(target, limit, Step.GUARD_REPEATS) { it.reservations.surrender(request) }

    override suspend fun switchReport(
        target: Instance,
        limit: Duration,
    ): Either<Failure, SwitchReport> = ask(target, limit, Step.ORDER_ENGINE) { it.control.switch.report() }

    override fun reports(target: Instance): Flow<Either<Failure, TargetReport>> = flow { }

    override fun reset(target: Instance) = Unit

    override fun run(
        target: Instance,
        request: RunRequest,
    ): Flow<Either<Failure, RunEvent>> =
        channelFlow {
            val fault = faults.next(idOf(target))
            val peer = peerOf(target)
            if (fault is ExchangeFault.Refused || find(target) == null) return@channelFlow send(refused(peer, Step.CONNECT).left())
            if (fault is ExchangeFault.RequestLost) awaitCancellation()
            delay(latency + if (fault is ExchangeFault.RequestDelayed) fault.late else Duration.ZERO)
            val found = find(target) ?: return@channelFlow send(broken(peer).left())
            var events = 0
            val call =
                TargetCall(request, found.now()) { event ->
                    delay(latency)
                    if (find(target) !== found) throw LostConnection()
                    pass(fault, events++, event) { send(it.right()) }
                }
            val outcome = runSafely(found, call)
            when (outcome) {
                null -> send(broken(peer).left())
                is Outcome.Completed -> Unit
                is Outcome.Refused -> send(RunEvent.NotRun(outcome.refusal, found.control.limits.room()).right())
                is Outcome.Unknown, is Outcome.Broken -> send(broken(peer).left())
            }
        }.buffer(Channel.RENDEZVOUS)

    /** Null when the connection broke while the answer was under way. */
    private suspend fun runSafely(
        target: VirtualTarget,
        call: TargetCall,
    ): Outcome? =
        try {
            target.chain.run(call)
        } catch (_: LostConnection) {
            null
        }

    private suspend fun pass(
        fault: ExchangeFault,
        number: Int,
        event: RunEvent,
        send: suspend (RunEvent) -> Unit,
    ) {
        when (fault) {
            is ExchangeFault.ResponseAborted -> if (number >= fault.events) throw LostConnection()
            is ExchangeFault.ResponseStalled -> if (number >= fault.events) awaitCancellation()
            ExchangeFault.ResponseMismatched -> if (event is RunEvent.Head) return send(event.copy(request = RequestId("other")))
            ExchangeFault.ResponseCorrupted -> if (event is RunEvent.Bytes) return send(corrupted(event))
            ExchangeFault.None, ExchangeFault.Refused, ExchangeFault.RequestLost, is ExchangeFault.RequestDelayed -> Unit
        }
        send(event)
    }

    private fun corrupted(event: RunEvent.Bytes): RunEvent {
        val data = event.data.copyOf()
        if (data.isNotEmpty()) data[0] = (data[0] + 1).toByte()
        return RunEvent.Bytes(event.offset, data, event.checksum)
    }

    private suspend fun <T> ask(
        target: Instance,
        limit: Duration,
        step: Step,
        question: suspend (VirtualTarget) -> T,
    ): Either<Failure, T> {
        val fault = faults.next(idOf(target))
        val peer = peerOf(target)
        val found = find(target)
        if (fault is ExchangeFault.Refused || found == null) return refused(peer, step).left()
        val answering =
            scope.async {
                if (fault is ExchangeFault.RequestLost) awaitCancellation()
                delay(latency + if (fault is ExchangeFault.RequestDelayed) fault.late else Duration.ZERO)
                val answer = question(found)
                if (fault is ExchangeFault.ResponseAborted || fault is ExchangeFault.ResponseStalled) awaitCancellation()
                delay(latency)
                answer
            }
        val answer = withTimeoutOrNull(limit) { answering.await() }
        if (answer == null) answering.cancel()
        return answer?.right() ?: Failure.TimedOut(step, peer, limit).left()
    }

    private fun find(target: Instance): VirtualTarget? = target.target?.let(targets)?.takeIf { it.reachable }

    private fun idOf(target: Instance): TargetId = checkNotNull(target.target)

    private fun peerOf(target: Instance) = Peer(PeerRole.TARGET, target.daemon.text)

    private fun refused(
        peer: Peer,
        step: Step,
    ): Failure = Failure.Unreachable(step, peer, "connection refused")

    private fun broken(peer: Peer): Failure = Failure.Interrupted(Step.RUN, peer, "connection broke")
}

private class LostConnection : Exception()

/** Draws faults at random: each exchange has one with probability [share]. */
class RandomFaultInjector(
    private val random: Random,
    var share: Double,
) : FaultInjector {
    override fun next(target: TargetId): ExchangeFault {
        if (random.nextDouble() >= share) return ExchangeFault.None
        return when (random.nextInt(KINDS)) {
            0 -> ExchangeFault.Refused
            1 -> ExchangeFault.RequestLost
            2 -> ExchangeFault.RequestDelayed(random.nextInt(LATEST_MILLISECONDS).milliseconds)
            3 -> ExchangeFault.ResponseAborted(random.nextInt(MOST_EVENTS))
            4 -> ExchangeFault.ResponseStalled(random.nextInt(MOST_EVENTS))
            5 -> ExchangeFault.ResponseMismatched
            else -> ExchangeFault.ResponseCorrupted
        }
    }

    private companion object {
        const val KINDS = 7
        const val LATEST_MILLISECONDS = 4_000
        const val MOST_EVENTS = 6
    }
}

/**
 * A client of target daemons in virtual time that can inject a fault at any step of an exchange.
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
import lagoonrudder.control.IdempotencyDecision
import lagoonrudder.control.SurrenderResult
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
import lagoonrudder.traffic.TargetClient
import lagoonrudder.traffic.target.TargetCall
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The fault injected into one exchange between an entry daemon and a target daemon. */
sealed class ExchangeFault {
    data object None : ExchangeFault()

    /** The connection is refused and nothing is sent. */
    data object Refused : ExchangeFault()

    /** The request is sent and lost; the target never receives it. */
    data object RequestLost : ExchangeFault()

    /** The request is delivered after an additional [extraDelay]. */
    data class RequestDelayed(
        val extraDelay: Duration,
    ) : ExchangeFault()

    /** The target executes the request and the connection is lost after [events] events of the response. */
    data class ResponseAborted(
        val events: Int,
    ) : ExchangeFault()

    /** The response stalls after [events] events while the connection stays open. */
    data class ResponseStalled(
        val events: Int,
    ) : ExchangeFault()

    /** The head of the response carries the id of another request. */
    data object ResponseMismatched : ExchangeFault()

    /** A byte of each data event of the response is changed in transit, and the checksum is left as it was. */
    data object ResponseCorrupted : ExchangeFault()
}

/** Chooses the fault of each exchange. */
fun interface FaultInjector {
    fun next(target: TargetId): ExchangeFault
}

/**
 * Connects entry daemons to the simulated target daemons, with [latency] in each direction.
 *
 * A call to a target that is unknown or unreachable fails at once. A stream of events is interrupted when its target is restarted or
 * becomes unreachable.
 */
class VirtualTargetClient(
    private val scope: CoroutineScope,
    private val targets: (TargetId) -> VirtualTarget?,
    private val latency: Duration,
    private val faults: FaultInjector,
) : TargetClient {
    override suspend fun reserve(
        target: Instance,
        request: ReserveRequest,
        limit: Duration,
    ): Either<Failure, IdempotencyDecision> = exchange(target, limit, Step.GUARD_REPEATS) { it.reservations.reserve(request) }

    override suspend fun surrender(
        target: Instance,
        request: SurrenderRequest,
        limit: Duration,
    ): Either<Failure, SurrenderResult> = exchange(target, limit, Step.GUARD_REPEATS) { it.reservations.surrender(request) }

    override suspend fun switchReport(
        target: Instance,
        limit: Duration,
    ): Either<Failure, SwitchReport> = exchange(target, limit, Step.ORDER_ENGINE) { it.control.switch.report() }

    override fun reports(target: Instance): Flow<Either<Failure, TargetReport>> = flow { }

    override fun reset(target: Instance) = Unit

    override fun run(
        target: Instance,
        request: RunRequest,
    ): Flow<Either<Failure, RunEvent>> =
        channelFlow {
            val fault = faults.next(idOf(target))
            val peer = peerOf(target)
            if (fault is ExchangeFault.Refused || findReachable(target) == null) return@channelFlow send(refused(peer, Step.CONNECT).left())
            if (fault is ExchangeFault.RequestLost) awaitCancellation()
            delay(latency + if (fault is ExchangeFault.RequestDelayed) fault.extraDelay else Duration.ZERO)
            val destination = findReachable(target) ?: return@channelFlow send(interrupted(peer).left())
            var events = 0
            val call =
                TargetCall(request, destination.now()) { event ->
                    delay(latency)
                    if (findReachable(target) !== destination) throw ConnectionLostException()
                    deliver(fault, events++, event) { send(it.right()) }
                }
            val outcome = runUntilConnectionLost(destination, call)
            when (outcome) {
                null -> send(interrupted(peer).left())
                is Outcome.Completed -> Unit
                is Outcome.Refused -> send(RunEvent.NotRun(outcome.refusal, destination.control.limits.load()).right())
                is Outcome.Unknown, is Outcome.Broken -> send(interrupted(peer).left())
            }
        }.buffer(Channel.RENDEZVOUS)

    /** Runs [call] and returns null if the connection was lost while the response was sent. */
    private suspend fun runUntilConnectionLost(
        target: VirtualTarget,
        call: TargetCall,
    ): Outcome? =
        try {
            target.chain.run(call)
        } catch (_: ConnectionLostException) {
            null
        }

    private suspend fun deliver(
        fault: ExchangeFault,
        index: Int,
        event: RunEvent,
        send: suspend (RunEvent) -> Unit,
    ) {
        when (fault) {
            is ExchangeFault.ResponseAborted -> if (index >= fault.events) throw ConnectionLostException()
            is ExchangeFault.ResponseStalled -> if (index >= fault.events) awaitCancellation()
            ExchangeFault.ResponseMismatched -> if (event is RunEvent.Head) return send(event.copy(request = RequestId("other")))
            ExchangeFault.ResponseCorrupted -> if (event is RunEvent.Bytes) return send(corrupt(event))
            ExchangeFault.None, ExchangeFault.Refused, ExchangeFault.RequestLost, is ExchangeFault.RequestDelayed -> Unit
        }
        send(event)
    }

    private fun corrupt(event: RunEvent.Bytes): RunEvent {
        val data = event.data.copyOf()
        if (data.isNotEmpty()) data[0] = (data[0] + 1).toByte()
        return RunEvent.Bytes(event.offset, data, event.checksum)
    }

    private suspend fun <T> exchange(
        target: Instance,
        limit: Duration,
        step: Step,
        handler: suspend (VirtualTarget) -> T,
    ): Either<Failure, T> {
        val fault = faults.next(idOf(target))
        val peer = peerOf(target)
        val destination = findReachable(target)
        if (fault is ExchangeFault.Refused || destination == null) return refused(peer, step).left()
        val pending =
            scope.async {
                if (fault is ExchangeFault.RequestLost) awaitCancellation()
                delay(latency + if (fault is ExchangeFault.RequestDelayed) fault.extraDelay else Duration.ZERO)
                val response = handler(destination)
                if (fault is ExchangeFault.ResponseAborted || fault is ExchangeFault.ResponseStalled) awaitCancellation()
                delay(latency)
                response
            }
        val response = withTimeoutOrNull(limit) { pending.await() }
        if (response == null) pending.cancel()
        return response?.right() ?: Failure.TimedOut(step, peer, limit).left()
    }

    private fun findReachable(target: Instance): VirtualTarget? = target.target?.let(targets)?.takeIf { it.reachable }

    private fun idOf(target: Instance): TargetId = checkNotNull(target.target)

    private fun peerOf(target: Instance) = Peer(PeerRole.TARGET, target.daemon.text)

    private fun refused(
        peer: Peer,
        step: Step,
    ): Failure = Failure.Unreachable(step, peer, "connection refused")

    private fun interrupted(peer: Peer): Failure = Failure.Interrupted(Step.RUN, peer, "connection lost")
}

private class ConnectionLostException : Exception()

/** Injects a fault, chosen uniformly by kind, into each exchange with probability [probability]. */
class RandomFaultInjector(
    private val random: Random,
    var probability: Double,
) : FaultInjector {
    override fun next(target: TargetId): ExchangeFault {
        if (random.nextDouble() >= probability) return ExchangeFault.None
        return when (random.nextInt(FAULT_KINDS)) {
            0 -> ExchangeFault.Refused
            1 -> ExchangeFault.RequestLost
            2 -> ExchangeFault.RequestDelayed(random.nextInt(MAX_DELAY_MILLISECONDS).milliseconds)
            3 -> ExchangeFault.ResponseAborted(random.nextInt(MAX_EVENTS))
            4 -> ExchangeFault.ResponseStalled(random.nextInt(MAX_EVENTS))
            5 -> ExchangeFault.ResponseMismatched
            else -> ExchangeFault.ResponseCorrupted
        }
    }

    private companion object {
        const val FAULT_KINDS = 7
        const val MAX_DELAY_MILLISECONDS = 4_000
        const val MAX_EVENTS = 6
    }
}

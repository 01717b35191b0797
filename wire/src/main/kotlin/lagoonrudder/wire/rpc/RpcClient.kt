/**
 * The connections of a daemon to other daemons.
 *
 * There are two to each address: one for requests, with a small window, and one for configuration and weights, so that
 * bulk never stands before an answer. A connection that went silent is dropped and the next call opens a new one.
 */
package lagoonrudder.wire.rpc

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.grpc.CallOptions
import io.grpc.ManagedChannel
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.kotlin.ClientCalls
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.map
import lagoonrudder.control.InstanceChanges
import lagoonrudder.control.IdempotencyDecision
import lagoonrudder.control.SurrenderResult
import lagoonrudder.control.SwitchReport
import lagoonrudder.control.TargetReport
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.Instance
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Revision
import lagoonrudder.model.Step
import lagoonrudder.traffic.ReserveRequest
import lagoonrudder.traffic.RunEvent
import lagoonrudder.traffic.RunRequest
import lagoonrudder.traffic.SurrenderRequest
import lagoonrudder.traffic.TargetClient
import lagoonrudder.wire.messages.ChunkMessage
import lagoonrudder.wire.messages.ChunkReply
import lagoonrudder.wire.messages.EmptyMessage
import lagoonrudder.wire.messages.ExchangeMessage
import lagoonrudder.wire.messages.OfferMessage
import lagoonrudder.wire.messages.OfferReply
import lagoonrudder.wire.messages.toChanges
import lagoonrudder.wire.messages.toDecision
import lagoonrudder.wire.messages.toEvent
import lagoonrudder.wire.messages.toMessage
import lagoonrudder.wire.messages.toReport
import lagoonrudder.wire.messages.toSurrender
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** What a peer has in force, and what is newer there. */
class ExchangeResult(
    val revision: Revision,
    val digest: Digest,
    val offer: OfferMessage?,
    val instances: InstanceChanges?,
)

class RpcClient :
    TargetClient,
    AutoCloseable {
    private enum class ChannelPurpose { REQUESTS, BULK }

    private data class ChannelKey(
        val address: Address,
        val purpose: ChannelPurpose,
    )

    private val channels = ConcurrentHashMap<ChannelKey, ManagedChannel>()

    override suspend fun reserve(
        target: Instance,
        request: ReserveRequest,
        limit: Duration,
    ): Either<Failure, IdempotencyDecision> =
        call(Methods.reserve, target.address, ChannelPurpose.REQUESTS, request.toMessage(), limit, Step.GUARD_REPEATS, PeerRole.TARGET) {
            it.toDecision()
        }

    override fun run(
        target: Instance,
        request: RunRequest,
    ): Flow<Either<Failure, RunEvent>> = stream(Methods.run, target, request.toMessage(), Step.RUN) { it.toEvent() }

    /** Callers pace their tries themselves, so that the pause of the connection after a failure is skipped. */
    override fun reports(target: Instance): Flow<Either<Failure, TargetReport>> {
        channel(target.address, ChannelPurpose.REQUESTS).resetConnectBackoff()
        return stream(Methods.reports, target, EmptyMessage(), Step.CHOOSE_TARGET) { it.toReport() }
    }

    override suspend fun switchReport(
        target: Instance,
        limit: Duration,
    ): Either<Failure, SwitchReport> =
        call(Methods.switch, target.address, ChannelPurpose.REQUESTS, EmptyMessage(), limit, Step.ORDER_ENGINE, PeerRole.TARGET) { it.toReport() }

    override suspend fun surrender(
        target: Instance,
        request: SurrenderRequest,
        limit: Duration,
    ): Either<Failure, SurrenderResult> =
        call(Methods.surrender, target.address, ChannelPurpose.REQUESTS, request.toMessage(), limit, Step.GUARD_REPEATS, PeerRole.TARGET) {
            it.toSurrender()
        }

    override fun reset(target: Instance) {
        channels.remove(ChannelKey(target.address, ChannelPurpose.REQUESTS))?.shutdownNow()
    }

    suspend fun exchange(
        address: Address,
        message: ExchangeMessage,
        limit: Duration,
    ): Either<Failure, ExchangeResult> =
        call(Methods.exchange, address, ChannelPurpose.BULK, message, limit, Step.EXCHANGE_CONFIGURATION, PeerRole.ENTRY) {
            ExchangeResult(Revision(it.revision), Digest(it.digest), it.offer, it.instances?.toChanges())
        }

    suspend fun offer(
        address: Address,
        message: OfferMessage,
        limit: Duration,
    ): Either<Failure, OfferReply> =
        call(Methods.offer, address, ChannelPurpose.BULK, message, limit, Step.EXCHANGE_CONFIGURATION, PeerRole.ENTRY) { it }

    suspend fun chunk(
        address: Address,
        message: ChunkMessage,
        limit: Duration,
    ): Either<Failure, ChunkReply> = call(Methods.chunk, address, ChannelPurpose.BULK, message, limit, Step.DRAW_CHUNK, PeerRole.TARGET) { it }

    /** Closes the connections to addresses that are not in [used]. */
    fun retain(used: Set<Address>) {
        for (key in channels.keys) if (key.address !in used) channels.remove(key)?.shutdown()
    }

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        channels.clear()
    }

    private suspend fun <Q : Any, A : Any, R> call(
        method: MethodDescriptor<Q, A>,
        address: Address,
        purpose: ChannelPurpose,
        message: Q,
        limit: Duration,
        step: Step,
        role: PeerRole,
        read: (A) -> R,
    ): Either<Failure, R> =
        try {
            val options = CallOptions.DEFAULT.withDeadlineAfter(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            val response = ClientCalls.unaryRpc(channel(address, purpose), method, message, options, Metadata())
            read(response).right()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (
            @Suppress("TooGenericExceptionCaught") error: Exception,
        ) {
            failureOf(error, step, Peer(role, address.toString()), limit).left()
        }

    private fun <Q : Any, A : Any, R> stream(
        method: MethodDescriptor<Q, A>,
        target: Instance,
        message: Q,
        step: Step,
        read: (A) -> R,
    ): Flow<Either<Failure, R>> {
        val peer = Peer(if (target.role == DaemonRole.TARGET) PeerRole.TARGET else PeerRole.ENTRY, target.address.toString())
        return ClientCalls
            .serverStreamingRpc(channel(target.address, ChannelPurpose.REQUESTS), method, message, CallOptions.DEFAULT, Metadata())
            .map<A, Either<Failure, R>> { read(it).right() }
            .catch { error -> emit(failureOf(error, step, peer, Duration.INFINITE).left()) }
    }

    private fun channel(
        address: Address,
        purpose: ChannelPurpose,
    ): ManagedChannel = channels.computeIfAbsent(ChannelKey(address, purpose)) { open(address, purpose) }

    private fun open(
        address: Address,
        purpose: ChannelPurpose,
    ): ManagedChannel {
        val builder =
            NettyChannelBuilder
                .forAddress(address.host.removeSurrounding("[", "]"), address.port)
                .usePlaintext()
                .disableRetry()
                .keepAliveTime(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEPALIVE_SECONDS / 2, TimeUnit.SECONDS)
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
        if (purpose == ChannelPurpose.REQUESTS) builder.flowControlWindow(REQUEST_WINDOW_BYTES)
        return builder.build()
    }
}

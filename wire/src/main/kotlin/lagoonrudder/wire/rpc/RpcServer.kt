/**
 * The gRPC end of a daemon: the services it offers to other daemons.
 */
package lagoonrudder.wire.rpc

import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.kotlin.ServerCalls
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.map
import lagoonrudder.control.IdempotencyDecision
import lagoonrudder.control.SurrenderResult
import lagoonrudder.control.SwitchReport
import lagoonrudder.control.TargetReport
import lagoonrudder.model.Address
import lagoonrudder.traffic.ReserveRequest
import lagoonrudder.traffic.RunEvent
import lagoonrudder.traffic.RunRequest
import lagoonrudder.traffic.SurrenderRequest
import lagoonrudder.wire.messages.ChunkMessage
import lagoonrudder.wire.messages.ChunkReply
import lagoonrudder.wire.messages.ExchangeMessage
import lagoonrudder.wire.messages.ExchangeReply
import lagoonrudder.wire.messages.MalformedMessage
import lagoonrudder.wire.messages.OfferMessage
import lagoonrudder.wire.messages.OfferReply
import lagoonrudder.wire.messages.toMessage
import lagoonrudder.wire.messages.toRequest
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.coroutines.CoroutineContext

/** What a target daemon answers to entry daemons and to other targets. */
interface TargetService {
    fun run(request: RunRequest): Flow<RunEvent>

    suspend fun reserve(request: ReserveRequest): IdempotencyDecision

    suspend fun surrender(request: SurrenderRequest): SurrenderResult

    fun reports(): Flow<TargetReport>

    suspend fun switchReport(): SwitchReport
}

/** What every daemon answers to its peers. */
interface PeerService {
    suspend fun exchange(message: ExchangeMessage): ExchangeReply

    suspend fun offer(message: OfferMessage): OfferReply

    suspend fun chunk(message: ChunkMessage): ChunkReply
}

/** Bytes that one answer may have under way on a connection; small, so that slow readers hold little. */
internal const val REQUEST_WINDOW_BYTES = 16_384
internal const val MAX_MESSAGE_BYTES = 16_000_000
internal const val KEEPALIVE_SECONDS = 2L

/** A started gRPC server; [port] is the one it got when [address] asked for any. */
class RpcServer private constructor(
    private val server: Server,
) : AutoCloseable {
    val port: Int get() = server.port

    /** Takes no new calls; those under way go on. */
    fun beginShutdown() {
        server.shutdown()
    }

    override fun close() {
        server.shutdownNow()
    }

    companion object {
        /** Starts a server on [address]; [context] runs the services. [target] is null at entry daemons. */
        fun start(
            address: Address,
            context: CoroutineContext,
            peer: PeerService,
            target: TargetService?,
        ): RpcServer {
            val builder =
                NettyServerBuilder
                    .forAddress(InetSocketAddress(address.host, address.port))
                    .permitKeepAliveTime(KEEPALIVE_SECONDS / 2, TimeUnit.SECONDS)
                    .permitKeepAliveWithoutCalls(true)
                    .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                    .addService(peerDefinition(context, peer))
            if (target != null) builder.addService(targetDefinition(context, target))
            return RpcServer(builder.build().start())
        }
    }
}

private fun targetDefinition(
    context: CoroutineContext,
    service: TargetService,
): ServerServiceDefinition =
    ServerServiceDefinition
        .builder(TARGET_SERVICE)
        .addMethod(
            ServerCalls.serverStreamingServerMethodDefinition(context, Methods.run) { message ->
                service.run(checked { message.toRequest() }).map { it.toMessage() }
            },
        ).addMethod(
            ServerCalls.unaryServerMethodDefinition(context, Methods.reserve) { message ->
                service.reserve(message.toRequest()).toMessage()
            },
        ).addMethod(
            ServerCalls.unaryServerMethodDefinition(context, Methods.surrender) { message ->
                service.surrender(message.toRequest()).toMessage()
            },
        ).addMethod(
            ServerCalls.serverStreamingServerMethodDefinition(context, Methods.reports) { service.reports().map { it.toMessage() } },
        ).addMethod(ServerCalls.unaryServerMethodDefinition(context, Methods.switch) { service.switchReport().toMessage() })
        .build()

private fun peerDefinition(
    context: CoroutineContext,
    service: PeerService,
): ServerServiceDefinition =
    ServerServiceDefinition
        .builder(PEER_SERVICE)
        .addMethod(ServerCalls.unaryServerMethodDefinition(context, Methods.exchange) { service.exchange(it) })
        .addMethod(ServerCalls.unaryServerMethodDefinition(context, Methods.offer) { service.offer(it) })
        .addMethod(ServerCalls.unaryServerMethodDefinition(context, Methods.chunk) { service.chunk(it) })
        .build()

private fun <T> checked(read: () -> T): T =
    try {
        read()
    } catch (malformed: MalformedMessage) {
        throw Status.DATA_LOSS.withDescription(malformed.message).asRuntimeException()
    }

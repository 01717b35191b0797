/**
 * An HTTP/1.1 server whose handler gets whole requests and sends answers piece by piece.
 *
 * A request that breaks a limit or the protocol is answered with a status of its own and never reaches the handler. When
 * the caller closes its connection, the handler's coroutine is cancelled.
 */
package lagoonrudder.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import kotlinx.coroutines.CoroutineScope
import lagoonrudder.model.Address
import lagoonrudder.model.CallerLimits
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

fun interface HttpHandler {
    /** Answers [exchange]; returning before the answer has ended breaks the connection off. */
    suspend fun handle(exchange: HttpExchange)
}

/** One request and the answer to it. Every function runs on the loop's thread. */
interface HttpExchange {
    val request: HttpRequest

    /** Sends a whole answer; its length is set here. */
    suspend fun respond(
        status: Int,
        fields: List<lagoonrudder.model.HeaderField>,
        body: ByteArray,
    )

    /** Starts an answer; without a [HttpResponseHead.length] it is sent in chunks. */
    suspend fun begin(head: HttpResponseHead)

    /** Sends part of the body; suspends while the caller does not read. */
    suspend fun write(bytes: ByteArray)

    suspend fun end()

    /** Closes the connection so that the answer can't look complete. */
    fun abort()
}

class HttpServer private constructor(
    private val channel: Channel,
    private val state: ServerState,
) : AutoCloseable {
    /** The port that was bound. */
    val port: Int get() = (channel.localAddress() as java.net.InetSocketAddress).port

    /** The number of requests that are being answered. */
    val activeRequests: Int get() = state.activeRequests.get()

    /** From now on every answer closes its connection, and idle connections are closed. */
    fun drain() {
        state.retiring = true
        state.connections.forEach { it.closeWhenIdle() }
    }

    /** Takes no new connection and reads no further request; what is being answered goes on to its end. */
    fun stopReading() {
        state.deaf = true
        channel.close()
        state.connections.forEach { it.closeWhenIdle() }
    }

    override fun close() {
        channel.close()
        state.connections.forEach { it.abandon() }
    }

    companion object {
        /** Limits for ends that only the system's own processes call. */
        val PEER_LIMITS = CallerLimits(headerBytes = 8_192, bodyBytes = 8_388_608, headerTimeout = 3.seconds, idleTimeout = 30.seconds)

        /** Binds [address] and answers with [handler]; [limits] is read anew for each connection. */
        fun start(
            loop: HttpEventLoop,
            scope: CoroutineScope,
            address: Address,
            limits: () -> CallerLimits,
            handler: HttpHandler,
        ): HttpServer {
            val state = ServerState(scope, loop.dispatcher, handler)
            val bootstrap =
                ServerBootstrap()
                    .group(loop.group)
                    .channel(NioServerSocketChannel::class.java)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .childOption(ChannelOption.ALLOCATOR, loop.allocator)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.SO_KEEPALIVE, true)
                    .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WINDOW)
                    .childHandler(
                        object : ChannelInitializer<SocketChannel>() {
                            override fun initChannel(channel: SocketChannel) = state.connect(channel, limits())
                        },
                    )
            return HttpServer(bootstrap.bind(address.host, address.port).syncUninterruptibly().channel(), state)
        }

        private const val BACKLOG = 512

        /** What may wait in the process for one slow reader, in bytes, before writing is held back and taken up again. */
        private val WRITE_WINDOW = WriteBufferWaterMark(16_384, 49_152)
    }
}

/** What all connections of a server share. */
internal class ServerState(
    val scope: CoroutineScope,
    val dispatcher: kotlinx.coroutines.CoroutineDispatcher,
    val handler: HttpHandler,
) {
    val connections: MutableSet<ServerConnection> = ConcurrentHashMap.newKeySet()
    val activeRequests =
        java.util.concurrent.atomic
            .AtomicInteger()

    @Volatile
    var retiring = false

    /** Whether requests are no longer read. */
    @Volatile
    var deaf = false

    fun connect(
        channel: SocketChannel,
        limits: CallerLimits,
    ) {
        val decoder =
            HttpDecoderConfig()
                .setMaxInitialLineLength(limits.headerBytes)
                .setMaxHeaderSize(limits.headerBytes)
                .setMaxChunkSize(CHUNK_BYTES)
        val connection = ServerConnection(channel, limits, this)
        channel.pipeline().addLast(ArrivalNotice(connection), HttpServerCodec(decoder), connection)
    }

    companion object {
        const val CHUNK_BYTES = 8_192

        /** How long a connection that is closed on an error still takes bytes, so that the answer isn't reset away. */
        val LINGER = 500.milliseconds
    }
}

/** Tells a connection of bytes before they are decoded. */
private class ArrivalNotice(
    private val connection: ServerConnection,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        connection.bytesArrived()
        context.fireChannelRead(message)
    }
}

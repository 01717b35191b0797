/**
 * An HTTP/1.1 server whose handler receives complete requests and may stream its responses.
 *
 * A request that exceeds a limit or violates the protocol is rejected with a specific status and never reaches the handler.
 * When the caller closes its connection, the coroutine of the handler is cancelled.
 */
package lagoonrudder.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
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
import lagoonrudder.model.Clock
import lagoonrudder.model.SystemClock
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

fun interface HttpHandler {
    /**
     * Responds to [exchange]. When this returns or fails before the end of the response, that is broken off, and a request without
     * any gets 502.
     */
    suspend fun handle(exchange: HttpExchange)
}

/**
 * A request and its response. All functions must be called on the event loop thread. A second response, and a body that does not
 * match its stated length, throw [IllegalStateException]; the connection is then closed, so that nothing else can look like a
 * part of the response.
 */
interface HttpExchange {
    val request: HttpRequest

    /** The time since the head of the request was read, also while it waited for its body or behind another request. */
    val age: Duration

    /** Sends a complete response and sets its length. */
    suspend fun respond(
        status: Int,
        fields: List<lagoonrudder.model.HeaderField>,
        body: ByteArray,
    )

    /** Starts a response, which is chunked unless [HttpResponseHead.length] is set. */
    suspend fun begin(head: HttpResponseHead)

    /** Sends part of the body, and suspends while the caller does not read. */
    suspend fun write(bytes: ByteArray)

    suspend fun end()

    /** Suspends until the whole response was written to the connection, which may take as long as the caller does not read. */
    suspend fun awaitTaken()

    /** Closes the connection so that the response can't appear complete, unless the whole of it was written. */
    fun abort()
}

/** An end of a request that its handler does not see. [caller] is the address at the other end of the connection. */
sealed class ServerReport {
    abstract val caller: String

    /** A request that does not reach the handler. [status] is that of the response to it; null if the connection is closed without one. */
    data class Unhandled(
        override val caller: String,
        val status: Int?,
        val reason: String,
    ) : ServerReport()

    /** A complete response of which the last bytes were never written to the connection, which was closed for [reason]. */
    data class ResponseCut(
        override val caller: String,
        val target: String,
        val reason: String,
    ) : ServerReport()
}

class HttpServer private constructor(
    private val channel: Channel,
    private val state: ServerState,
) : AutoCloseable {
    /** The bound port. */
    val port: Int get() = (channel.localAddress() as java.net.InetSocketAddress).port

    /** The number of requests that were read, also those that wait behind others, and whose responses are not written completely. */
    val activeRequests: Int get() = state.activeRequests.get()

    /** The number of open connections. Those of callers that were told so are closed a little after their last response. */
    val openConnections: Int get() = state.connections.size

    /** Closes idle connections now, and every other connection after its next response. */
    fun drain() {
        state.draining = true
        state.connections.forEach { it.closeWhenIdle() }
    }

    /**
     * Stops accepting connections and answers every further request with [refusal], which must have no body. Requests in progress run
     * to completion.
     */
    fun stopReading(refusal: HttpResponse) {
        state.refusal = refusal
        channel.close()
        state.connections.forEach { it.closeWhenIdle() }
    }

    /** Ends the requests in progress: with [status] if their response has not begun, otherwise so that it looks incomplete. */
    fun endRequests(status: Int) = state.connections.forEach { it.endRequest(status) }

    override fun close() {
        channel.close()
        state.connections.forEach { it.closeNow() }
    }

    companion object {
        /** Limits for endpoints that only processes of this system call. */
        val PEER_LIMITS = CallerLimits(headerBytes = 8_192, bodyBytes = 8_388_608, headerTimeout = 3.seconds, idleTimeout = 30.seconds)

        /**
         * Binds [address] and passes requests to [handler]. [limits] is evaluated for each request and idle time. [onReport] is called on the event loop
         * thread. A request whose body, or whose unfinished head, does not fit into [bodies] is refused with 503. The ages of requests are measured with [clock].
         */
        fun start(
            loop: HttpEventLoop,
            scope: CoroutineScope,
            address: Address,
            limits: () -> CallerLimits,
            onReport: (ServerReport) -> Unit = {},
            bodies: BodyMemory = BodyMemory.Unbounded,
            clock: Clock = SystemClock(),
            handler: HttpHandler,
        ): HttpServer {
            val state = ServerState(scope, loop.dispatcher, handler, onReport, bodies, clock)
            val bootstrap =
                ServerBootstrap()
                    .group(loop.group)
                    .channel(NioServerSocketChannel::class.java)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .childOption(ChannelOption.ALLOCATOR, loop.allocator)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.SO_KEEPALIVE, true)
                    .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
                    .childHandler(
                        object : ChannelInitializer<SocketChannel>() {
                            override fun initChannel(channel: SocketChannel) = state.connect(channel, limits)
                        },
                    )
            return HttpServer(bootstrap.bind(address.host, address.port).syncUninterruptibly().channel(), state)
        }

        private const val BACKLOG = 512

        /** The number of bytes buffered for a slow reader below which writing resumes and above which it is suspended. */
        private val WRITE_WATER_MARK = WriteBufferWaterMark(16_384, 49_152)
    }
}

/** State shared by all connections of a server. */
internal class ServerState(
    val scope: CoroutineScope,
    val dispatcher: kotlinx.coroutines.CoroutineDispatcher,
    val handler: HttpHandler,
    val onReport: (ServerReport) -> Unit,
    val bodies: BodyMemory,
    val clock: Clock,
) {
    val connections: MutableSet<ServerConnection> = ConcurrentHashMap.newKeySet()
    val activeRequests =
        java.util.concurrent.atomic
            .AtomicInteger()

    @Volatile
    var draining = false

    /** The response to every further request; null while they are processed. */
    @Volatile
    var refusal: HttpResponse? = null

    fun connect(
        channel: SocketChannel,
        limits: () -> CallerLimits,
    ) {
        // The limits may change while the connection is open, so it applies them itself.
        val decoder =
            HttpDecoderConfig()
                .setMaxInitialLineLength(Int.MAX_VALUE)
                .setMaxHeaderSize(Int.MAX_VALUE)
                .setMaxChunkSize(CHUNK_BYTES)
        val connection = ServerConnection(channel, limits, this)
        channel.pipeline().addLast(connection.undecoded, HttpServerCodec(decoder), connection)
    }

    companion object {
        const val CHUNK_BYTES = 8_192

        /** How long a connection still accepts bytes before it is closed, so that a reset doesn't discard the response. */
        val LINGER = 500.milliseconds
    }
}

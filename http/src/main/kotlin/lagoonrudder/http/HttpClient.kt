/**
 * An HTTP/1.1 client with a pool of persistent connections.
 */
package lagoonrudder.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.model.Address
import lagoonrudder.model.Clock
import lagoonrudder.model.Failure
import lagoonrudder.model.Peer
import lagoonrudder.model.Step
import java.io.ByteArrayOutputStream
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Bounds of a response: the time until its head, between two parts of it and altogether, and the bytes of its body, which may have no
 * end.
 */
data class ResponseLimits(
    val first: Duration,
    val next: Duration,
    val total: Duration,
    val maxBytes: Long,
)

/**
 * Sends requests over pooled connections. All functions must be called on the event loop thread.
 *
 * [connectTimeout] is the timeout for opening a connection. [idleTimeout] is the maximum idle time of a pooled connection, even
 * if its server allows more.
 */
class HttpClient(
    private val loop: HttpEventLoop,
    private val clock: Clock,
    private val connectTimeout: Duration = CONNECT_TIMEOUT,
    private val idleTimeout: Duration = IDLE_TIMEOUT,
) {
    private class Idle(
        val connection: HttpConnection,
        val since: Duration,
    )

    private val idle = mutableMapOf<Address, ArrayDeque<Idle>>()
    private val bootstrap =
        Bootstrap()
            .group(loop.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.ALLOCATOR, loop.allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())

    /**
     * Sends [request] on a connection that was idle for at most [maxIdleTime], or on a new one, which [newConnection] requires.
     * [ownerOf] tells whose request a response answers; those to other requests are skipped. A [Failure.Unreachable] means that
     * nothing was sent.
     */
    suspend fun send(
        address: Address,
        request: HttpRequest,
        peer: Peer,
        maxIdleTime: Duration = idleTimeout,
        newConnection: Boolean = false,
        ownerOf: (HttpResponseHead) -> ResponseOwner = { ResponseOwner.THIS_REQUEST },
    ): Either<Failure, HttpCall> = send(address, peer, maxIdleTime, newConnection, ownerOf) { request.right() }

    /**
     * Sends the request that [requestNow] returns once there is a connection to carry it, since opening one may take until
     * [connectTimeout]. If that returns a failure, nothing is sent, and a new connection is kept for a later request.
     */
    suspend fun send(
        address: Address,
        peer: Peer,
        maxIdleTime: Duration = idleTimeout,
        newConnection: Boolean = false,
        ownerOf: (HttpResponseHead) -> ResponseOwner = { ResponseOwner.THIS_REQUEST },
        requestNow: suspend () -> Either<Failure, HttpRequest>,
    ): Either<Failure, HttpCall> {
        val pooled = if (newConnection) null else takeIdle(address, maxIdleTime)
        val connection = pooled ?: open(address) ?: return unreachable(address, peer)
        var isOwned = false
        try {
            val request = requestNow()
            if (!connection.reusable) return unreachable(address, peer)
            isOwned = true
            return request
                .onLeft { release(address, connection) }
                .map { connection.send(it, ownerOf) { sent -> release(address, sent) } }
        } finally {
            if (!isOwned) connection.close()
        }
    }

    private fun unreachable(
        address: Address,
        peer: Peer,
    ) = Failure.Unreachable(Step.CONNECT, peer, "no connection to $address").left()

    /**
     * Sends [request] and reads the complete response of at most [maxBytes] within [timeout]. [newConnection] requires a
     * connection that has carried nothing, so that no late copy of an earlier response can be taken for this one. Nothing is sent if
     * [onConnected] returns a failure once there is a connection.
     */
    suspend fun exchange(
        address: Address,
        request: HttpRequest,
        peer: Peer,
        timeout: Duration,
        maxBytes: Int = MAX_RESPONSE_BYTES,
        newConnection: Boolean = false,
        onConnected: suspend () -> Either<Failure, Unit> = { Unit.right() },
    ): Either<Failure, HttpResponse> {
        val body = ByteArrayOutputStream(0)
        val limits = ResponseLimits(first = timeout, next = timeout, total = timeout, maxBytes = maxBytes.toLong())
        return receive(address, request, peer, limits, newConnection, onConnected) { _, bytes -> body.write(bytes) }
            .map { HttpResponse(it, body.toByteArray()) }
    }

    /** Sends [request] and passes the body of its response to [onBody] as it arrives. Returns the head once the response is complete. */
    suspend fun receive(
        address: Address,
        request: HttpRequest,
        peer: Peer,
        limits: ResponseLimits,
        newConnection: Boolean = false,
        onConnected: suspend () -> Either<Failure, Unit> = { Unit.right() },
        onBody: (HttpResponseHead, ByteArray) -> Unit,
    ): Either<Failure, HttpResponseHead> {
        var call: HttpCall? = null
        try {
            val result =
                withTimeoutOrNull(limits.total) {
                    when (val sent = send(address, peer, newConnection = newConnection) { onConnected().map { request } }) {
                        is Either.Left -> sent
                        is Either.Right -> readResponse(sent.value.also { call = it }, peer, limits, onBody)
                    }
                }
            return result ?: Failure.TimedOut(Step.SEND, peer, limits.total).left()
        } finally {
            call?.abandon()
        }
    }

    /** Closes the idle connections to [address], for example after one of them stopped responding. */
    fun closeIdle(address: Address) {
        idle.remove(address)?.forEach { it.connection.close() }
    }

    private suspend fun readResponse(
        call: HttpCall,
        peer: Peer,
        limits: ResponseLimits,
        onBody: (HttpResponseHead, ByteArray) -> Unit,
    ): Either<Failure, HttpResponseHead> {
        var head: HttpResponseHead? = null
        var bytes = 0L
        while (true) {
            val limit = if (head == null) limits.first else limits.next
            val event = withTimeoutOrNull(limit) { call.next() } ?: return Failure.TimedOut(Step.SEND, peer, limit).left()
            when (event) {
                is HttpEvent.Head -> head = event.head
                is HttpEvent.Bytes -> {
                    bytes += event.data.size
                    if (bytes > limits.maxBytes) {
                        return Failure.Damaged(Step.SEND, peer, "response body exceeds ${limits.maxBytes} bytes").left()
                    }
                    onBody(checkNotNull(head), event.data)
                }
                HttpEvent.End -> return checkNotNull(head).right()
                is HttpEvent.Broken -> return Failure.Interrupted(Step.SEND, peer, event.detail).left()
            }
        }
    }

    private fun takeIdle(
        address: Address,
        maxIdleTime: Duration,
    ): HttpConnection? {
        val kept = idle[address] ?: return null
        val now = clock.elapsed()
        while (true) {
            val last = kept.removeLastOrNull() ?: return null
            val age = now - last.since
            if (last.connection.reusable && age < minOf(last.connection.keepAlive, maxIdleTime)) return last.connection
            last.connection.close()
        }
    }

    private fun release(
        address: Address,
        connection: HttpConnection,
    ) {
        val now = clock.elapsed()
        val kept = idle.getOrPut(address) { ArrayDeque() }
        while (kept.isNotEmpty() && now - kept.first().since > idleTimeout) kept.removeFirst().connection.close()
        kept.addLast(Idle(connection, now))
    }

    private suspend fun open(address: Address): HttpConnection? {
        var created: HttpConnection? = null
        val initializer =
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    val decoder = ResponseDecoder()
                    val connection = HttpConnection(channel, address, decoder)
                    created = connection
                    channel.pipeline().addLast(ReadNotifier(connection::onBytesReceived), decoder, HttpRequestEncoder(), connection)
                }
            }
        val connected =
            bootstrap
                .clone()
                .handler(initializer)
                .connect(address.host, address.port)
                .awaitConnected()
        return if (connected != null) created else null
    }

    private suspend fun ChannelFuture.awaitConnected(): Channel? =
        suspendCancellableCoroutine { continuation ->
            addListener {
                if (continuation.isActive) continuation.resume(if (it.isSuccess) channel() else null) else channel().close()
            }
            continuation.invokeOnCancellation { channel().close() }
        }

    companion object {
        /** Two retransmissions of a lost SYN packet would take seconds. This fails earlier, so that another server can be tried. */
        val CONNECT_TIMEOUT = 500.milliseconds
        val IDLE_TIMEOUT = 8_000.milliseconds
        const val MAX_RESPONSE_BYTES = 4_194_304
    }
}

/**
 * Connections to servers, kept for reuse while the server keeps them.
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
import io.netty.handler.codec.http.HttpClientCodec
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
 * Opens and keeps connections. All functions run on the loop's thread.
 *
 * [connectLimit] bounds the opening of a connection; [idleLimit] how long one is kept, whatever its server allows.
 */
class HttpClient(
    private val loop: HttpEventLoop,
    private val clock: Clock,
    private val connectLimit: Duration = CONNECT_LIMIT,
    private val idleLimit: Duration = IDLE_LIMIT,
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
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectLimit.inWholeMilliseconds.toInt())

    /**
     * Sends [request] on a connection that was idle for at most [maxIdleTime], or on a new one. A [Failure.Unreachable] means
     * that nothing was sent.
     */
    suspend fun send(
        address: Address,
        request: HttpRequest,
        peer: Peer,
        maxIdleTime: Duration = idleLimit,
        belongs: (HttpResponseHead) -> Boolean = { true },
    ): Either<Failure, HttpCall> {
        val connection = reuse(address, maxIdleTime) ?: open(address)
        if (connection == null || !connection.usable) return Failure.Unreachable(Step.CONNECT, peer, "no connection to $address").left()
        return connection.send(request, belongs) { keep(address, it) }.right()
    }

    /** Sends [request] and reads the whole answer, at most [maxBytes] of it, within [limit]. */
    suspend fun exchange(
        address: Address,
        request: HttpRequest,
        peer: Peer,
        limit: Duration,
        maxBytes: Int = MOST_BYTES,
    ): Either<Failure, HttpResponse> {
        var call: HttpCall? = null
        try {
            val result =
                withTimeoutOrNull(limit) {
                    when (val sent = send(address, request, peer)) {
                        is Either.Left -> sent
                        is Either.Right -> readWhole(sent.value.also { call = it }, peer, maxBytes)
                    }
                }
            return result ?: Failure.TimedOut(Step.SEND, peer, limit).left()
        } finally {
            call?.abandon()
        }
    }

    /** Closes the idle connections to [address], for example after one of them went silent. */
    fun closeIdle(address: Address) {
        idle.remove(address)?.forEach { it.connection.close() }
    }

    private suspend fun readWhole(
        call: HttpCall,
        peer: Peer,
        maxBytes: Int,
    ): Either<Failure, HttpResponse> {
        var head: HttpResponseHead? = null
        val body = ByteArrayOutputStream(0)
        while (true) {
            when (val event = call.next()) {
                is HttpEvent.Head -> head = event.head
                is HttpEvent.Bytes -> body.write(event.data)
                HttpEvent.End -> return HttpResponse(checkNotNull(head), body.toByteArray()).right()
                is HttpEvent.Broken -> return Failure.Interrupted(Step.SEND, peer, event.detail).left()
            }
            if (body.size() > maxBytes) return Failure.Damaged(Step.SEND, peer, "answer longer than $maxBytes bytes").left()
        }
    }

    private fun reuse(
        address: Address,
        maxIdleTime: Duration,
    ): HttpConnection? {
        val kept = idle[address] ?: return null
        val now = clock.elapsed()
        while (true) {
            val last = kept.removeLastOrNull() ?: return null
            val age = now - last.since
            if (last.connection.usable && age < minOf(last.connection.keptFor, maxIdleTime)) return last.connection
            last.connection.close()
        }
    }

    private fun keep(
        address: Address,
        connection: HttpConnection,
    ) {
        val now = clock.elapsed()
        val kept = idle.getOrPut(address) { ArrayDeque() }
        while (kept.isNotEmpty() && now - kept.first().since > idleLimit) kept.removeFirst().connection.close()
        kept.addLast(Idle(connection, now))
    }

    private suspend fun open(address: Address): HttpConnection? {
        var made: HttpConnection? = null
        val initializer =
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    val connection = HttpConnection(channel, address)
                    made = connection
                    channel.pipeline().addLast(HttpClientCodec(), connection)
                }
            }
        val opened =
            bootstrap
                .clone()
                .handler(initializer)
                .connect(address.host, address.port)
                .awaitOpen()
        return if (opened != null) made else null
    }

    private suspend fun ChannelFuture.awaitOpen(): Channel? =
        suspendCancellableCoroutine { waiting ->
            addListener {
                if (waiting.isActive) waiting.resume(if (it.isSuccess) channel() else null) else channel().close()
            }
            waiting.invokeOnCancellation { channel().close() }
        }

    companion object {
        /** Two retransmissions of a lost opening packet would take seconds; another server is tried before that. */
        val CONNECT_LIMIT = 500.milliseconds
        val IDLE_LIMIT = 8_000.milliseconds
        const val MOST_BYTES = 4_194_304
    }
}

/**
 * A server-side connection of a caller. Pipelined requests are processed one at a time, in order.
 */
package lagoonrudder.http

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.model.CallerLimits
import lagoonrudder.model.HeaderField
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import io.netty.handler.codec.http.HttpRequest as NettyRequest
import io.netty.util.concurrent.ScheduledFuture as NettyTimer

internal class ServerConnection(
    private val channel: SocketChannel,
    private val limits: () -> CallerLimits,
    private val server: ServerState,
) : ChannelInboundHandlerAdapter() {
    private val pending = ArrayDeque<Received>()
    private var reading: RequestReader? = null
    private var current: ServerExchange? = null
    private var closing = false
    private var timer: NettyTimer<*>? = null
    private var awaited = Awaited.REQUEST
    private var closeReason = CloseReason.CALLER

    /** Goes in front of the decoder of this connection. A request line and the fields of a head may each be as long as their limit. */
    val undecoded =
        UndecodedBytes(
            server.bodies,
            maxBytes = { 2L * limits().headerBytes },
            onRead = ::onBytesReceived,
            onExcess = ::rejectUndecoded,
            onRefused = { refuse("no memory for the head", it) },
        )

    override fun channelActive(context: ChannelHandlerContext) {
        server.connections += this
        await(Awaited.REQUEST)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        server.connections -= this
        timer?.cancel(false)
        reading?.body?.release()
        reading = null
        pending.forEach { if (it is Received.Whole) it.body.release() }
        current?.onDisconnected(closeReason.text)
        repeat(pending.size) { reportUnhandled(null, "connection closed before the request in front was answered: ${closeReason.text}") }
        server.activeRequests.addAndGet(-pending.size)
        pending.clear()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) current?.onWritable()
    }

    @Deprecated("Netty declares this function deprecated for handlers of both directions")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause !is IOException) reportUnhandled(null, "unexpected error on the connection: $cause")
        close(CloseReason.ERROR)
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        undecoded.onDecoded()
        try {
            if (message is NettyRequest) {
                if (closing) reportUnhandled(null, "behind the last request of its connection") else readHead(message)
            }
            if (message is HttpContent && !closing) readBody(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Called for every read. The first bytes of a request start the timeout for its head. */
    private fun onBytesReceived() {
        val awaitsRequest = awaited == Awaited.REQUEST || awaited == Awaited.LAST_REQUEST
        if (awaitsRequest && current == null && reading == null && !closing) await(Awaited.HEAD)
    }

    private fun rejectUndecoded(bytes: Long) {
        when {
            closing -> Unit
            reading == null -> reject(FIELDS_TOO_LARGE, "head of over $bytes bytes, limit ${limits().headerBytes}")
            else -> reject(BAD_REQUEST, "unreadable body: $bytes bytes without a chunk")
        }
    }

    /** Closes the connection now if no request is being read or processed, otherwise after the next response. */
    fun closeWhenIdle() = onLoop { if (isIdle) close(CloseReason.STOP) }

    fun closeNow() = onLoop { close(CloseReason.STOP) }

    /** Ends the request in progress with [status], or breaks its response off if that has begun. */
    fun endRequest(status: Int) =
        onLoop {
            current?.let {
                closing = true
                it.endWith(status)
            }
        }

    /** Whether nothing is being read, processed or sent. */
    private val isIdle: Boolean get() = current == null && reading == null && awaited == Awaited.REQUEST && !closing

    private fun close(reason: CloseReason) {
        closeReason = reason
        channel.close()
    }

    private fun onLoop(action: () -> Unit) {
        if (channel.eventLoop().inEventLoop()) action() else channel.eventLoop().execute(action)
    }

    private fun readHead(message: NettyRequest) {
        server.refusal?.let { return reject(it.head.status, "the server has stopped reading", it.head.fields) }
        val failure = message.decoderResult().cause()
        if (failure != null) return reject(BAD_REQUEST, "unreadable head: ${failure.message}")
        val hasDuplicateLength = message.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size > 1
        val hasLengthAndChunks = HttpUtil.isTransferEncodingChunked(message) && message.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        val codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val hasUnknownCoding = codings.isNotEmpty() && codings.singleOrNull()?.equals("chunked", ignoreCase = true) != true
        if (hasDuplicateLength || hasLengthAndChunks || hasUnknownCoding) return reject(BAD_REQUEST, "ambiguous length")
        val headBytes = headBytes(message)
        if (headBytes > limits().headerBytes) return reject(FIELDS_TOO_LARGE, "head of $headBytes bytes, limit ${limits().headerBytes}")
        val length = HttpUtil.getContentLength(message, 0L)
        if (length > limits().bodyBytes) return reject(CONTENT_TOO_LARGE, "body of $length bytes, limit ${limits().bodyBytes}")
        val request = RequestReader(message)
        request.body.reserve(length.toInt())?.let { return refuse(NO_BODY_MEMORY, it) }
        reading = request
        if (current == null) awaitBody()
    }

    /** Returns the length of the request line or of the fields of [message], whichever is longer. */
    private fun headBytes(message: NettyRequest): Int {
        val requestLine = message.method().name().length + message.uri().length + message.protocolVersion().text().length + 2
        return maxOf(requestLine, message.headers().sumOf { it.key.length + it.value.length + 2 })
    }

    /**
     * Starts the timeout for the body that is being read, and tells a caller that waits for it to send that. Behind a response in
     * progress, a body may have to wait for its end.
     */
    private fun awaitBody() {
        await(Awaited.BODY)
        val request = reading ?: return
        if (!request.expectsContinue) return
        request.expectsContinue = false
        channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
    }

    private fun readBody(content: HttpContent) {
        val request = reading ?: return
        if (content.decoderResult().isFailure) return reject(BAD_REQUEST, "unreadable body: ${content.decoderResult().cause().message}")
        if (!request.body.allows(content.content())) return reject(CONTENT_TOO_LARGE, "body over the limit of ${request.maxBytes} bytes")
        request.body.append(content.content())?.let { return refuse(NO_BODY_MEMORY, it) }
        if (content !is LastHttpContent) {
            if (current == null) await(Awaited.BODY)
            return
        }
        reading = null
        if (!request.keepAlive) closing = true
        enqueue(Received.Whole(request.toRequest(), request.body, request.receivedAt))
        if (pending.size >= MAX_PIPELINED) channel.config().isAutoRead = false
        if (current == null) processNext()
    }

    private fun enqueue(received: Received) {
        pending.addLast(received)
        server.activeRequests.incrementAndGet()
    }

    private fun processNext() {
        when (val next = pending.removeFirstOrNull()) {
            is Received.Whole -> process(next)
            is Received.Rejected -> respond(next)
            null ->
                when {
                    closing -> closeAfterLinger()
                    reading != null -> awaitBody()
                    else -> awaitNext()
                }
        }
    }

    /** Waits for the next request. One that is on its way when the server stops still gets its refusal. */
    private fun awaitNext() = await(if (server.refusal == null) Awaited.REQUEST else Awaited.LAST_REQUEST)

    private fun process(received: Received.Whole) {
        channel.config().isAutoRead = true
        awaited = Awaited.REQUEST
        timer?.cancel(false)
        val exchange = ServerExchange(received.request, channel, ExchangeEnds(), received.receivedAt, server.clock)
        current = exchange
        exchange.job =
            server.scope.launch(server.dispatcher, CoroutineStart.UNDISPATCHED) {
                try {
                    server.handler.handle(exchange)
                    withTimeoutOrNull(UNREAD_LIMIT) { exchange.awaitTaken() } ?: exchange.abort()
                } finally {
                    server.activeRequests.decrementAndGet()
                    received.body.release()
                    exchange.endUnfinished(BAD_GATEWAY)
                }
            }
    }

    /** What the exchange in progress asks of this connection and tells it. */
    private inner class ExchangeEnds : ServerExchange.Connection {
        override fun isLast(): Boolean {
            val isLast = pending.isEmpty() && (closing || (server.draining && reading == null))
            if (isLast) closing = true
            return isLast
        }

        override fun onTaken() = channel.eventLoop().execute { onResponseTaken() }

        override fun onCut(target: String) = server.onReport(ServerReport.ResponseCut(caller(), target, closeReason.text))

        override fun close() = close(CloseReason.ABORTED)
    }

    private fun onResponseTaken() {
        current = null
        if (channel.isActive) processNext()
    }

    /** Refuses the request that is being read; its caller may try again after [retryAfter]. */
    private fun refuse(
        reason: String,
        retryAfter: Duration,
    ) {
        val wait = HeaderField(HttpHeaderNames.RETRY_AFTER.toString(), retryAfter.toDouble(DurationUnit.SECONDS).toString())
        if (!closing) reject(UNAVAILABLE, reason, listOf(wait))
    }

    /** Responds with [status] to a request that does not reach the handler, after those in front of it, and closes the connection. */
    private fun reject(
        status: Int,
        reason: String,
        fields: List<HeaderField> = emptyList(),
    ) {
        closing = true
        reading?.body?.release()
        reading = null
        enqueue(Received.Rejected(status, reason, fields))
        if (current == null) processNext()
    }

    private fun respond(rejected: Received.Rejected) {
        reportUnhandled(rejected.status, rejected.reason)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(rejected.status))
        rejected.fields.forEach { response.headers().add(it.name, it.value) }
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        await(Awaited.CALLER_TO_READ)
        channel.writeAndFlush(response).addListener(
            ChannelFutureListener {
                server.activeRequests.decrementAndGet()
                closeAfterLinger()
            },
        )
    }

    private fun caller() = channel.remoteAddress().toString()

    private fun reportUnhandled(
        status: Int?,
        reason: String,
    ) = server.onReport(ServerReport.Unhandled(caller(), status, reason))

    private fun closeAfterLinger() {
        closing = true
        closeReason = CloseReason.LAST_RESPONSE
        channel.shutdownOutput()
        timer?.cancel(false)
        timer =
            channel.eventLoop().schedule(
                { close(CloseReason.LAST_RESPONSE) },
                ServerState.LINGER.inWholeMilliseconds,
                TimeUnit.MILLISECONDS,
            )
    }

    /** Waits for [event], for which the connection has waited for [waited] already, up to the limit that is in force at its end. */
    private fun await(
        event: Awaited,
        waited: Duration = Duration.ZERO,
    ) {
        val limit = limitOf(event)
        if (waited >= limit) return onTimeout(event, limit)
        awaited = event
        timer?.cancel(false)
        timer = channel.eventLoop().schedule({ await(event, limit) }, (limit - waited).inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun limitOf(event: Awaited): Duration =
        when (event) {
            Awaited.REQUEST -> limits().idleTimeout + CALLER_LEAD
            Awaited.HEAD -> limits().headerTimeout
            Awaited.BODY -> limits().idleTimeout
            Awaited.LAST_REQUEST -> ServerState.LINGER
            Awaited.CALLER_TO_READ -> UNREAD_LIMIT
        }

    private fun onTimeout(
        event: Awaited,
        limit: Duration,
    ) {
        when (event) {
            Awaited.REQUEST -> close(CloseReason.IDLE)
            Awaited.HEAD -> reject(REQUEST_TIMEOUT, "head not complete in $limit")
            Awaited.LAST_REQUEST -> close(CloseReason.STOP)
            Awaited.CALLER_TO_READ -> close(CloseReason.UNREAD)
            Awaited.BODY -> if (reading != null) reject(REQUEST_TIMEOUT, "body without progress for $limit")
        }
    }

    private enum class Awaited { REQUEST, HEAD, BODY, LAST_REQUEST, CALLER_TO_READ }

    /** What was read and is answered in its turn. */
    private sealed class Received {
        /** A complete request, whose head was read at [receivedAt] and whose [body] holds memory until the request has ended. */
        class Whole(
            val request: HttpRequest,
            val body: RequestBody,
            val receivedAt: Duration,
        ) : Received()

        /** A request that the handler does not see. */
        class Rejected(
            val status: Int,
            val reason: String,
            val fields: List<HeaderField>,
        ) : Received()
    }

    /** Why the connection is closed; [text] is its name in reports. */
    private enum class CloseReason(
        val text: String,
    ) {
        CALLER("the caller closed its connection"),
        ERROR("error on the connection"),
        STOP("the server stops"),
        LAST_RESPONSE("its last response was given"),
        IDLE("idle timeout"),
        UNREAD("the caller does not read its response"),
        ABORTED("the response was aborted"),
    }

    private inner class RequestReader(
        message: NettyRequest,
    ) {
        val receivedAt = server.clock.elapsed()
        private val method = message.method().name()
        private val target = message.uri()
        private val fields = message.headers().map { HeaderField(it.key, it.value) }
        val maxBytes = limits().bodyBytes
        val body = RequestBody(server.bodies, maxBytes)
        val keepAlive = HttpUtil.isKeepAlive(message)
        var expectsContinue = HttpUtil.is100ContinueExpected(message)

        fun toRequest() = HttpRequest(method, target, fields, body.toByteArray())
    }

    private companion object {
        const val MAX_PIPELINED = 4
        const val NO_BODY_MEMORY = "no memory for the body"

        /** How long the end of a response may wait for its caller to read it, unless the handler sets a shorter time. */
        val UNREAD_LIMIT = 30.seconds

        /** Callers may go by a longer idle timeout this long before the process knows it. */
        val CALLER_LEAD = 2.seconds
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val CONTENT_TOO_LARGE = 413
        const val FIELDS_TOO_LARGE = 431
        const val UNAVAILABLE = 503

        /** Does not tell whether the request has run. */
        const val BAD_GATEWAY = 502
    }
}

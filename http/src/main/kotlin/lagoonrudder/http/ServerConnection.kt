/**
 * One caller's connection: requests are read one after the other and answered in their order.
 */
package lagoonrudder.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import lagoonrudder.model.CallerLimits
import lagoonrudder.model.HeaderField
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration
import io.netty.handler.codec.http.HttpRequest as NettyRequest
import io.netty.util.concurrent.ScheduledFuture as NettyTimer

internal class ServerConnection(
    private val channel: SocketChannel,
    private val limits: CallerLimits,
    private val server: ServerState,
) : ChannelInboundHandlerAdapter() {
    private val waiting = ArrayDeque<HttpRequest>()
    private var reading: RequestReader? = null
    private var current: ServerExchange? = null
    private var closing = false
    private var timer: NettyTimer<*>? = null
    private var awaited = Awaited.REQUEST

    override fun channelActive(context: ChannelHandlerContext) {
        server.connections += this
        expect(limits.idleTimeout, Awaited.REQUEST)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        server.connections -= this
        timer?.cancel(false)
        current?.callerLeft()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) current?.writable()
    }

    @Deprecated("Netty declares this function deprecated for handlers of both directions")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        channel.close()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (closing) return
            if (message is NettyRequest) readHead(message)
            if (message is HttpContent && !closing) readBody(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Bytes have arrived, of whatever; the first ones of a request start the time for its head. */
    fun bytesArrived() {
        if (awaited == Awaited.REQUEST && current == null && reading == null && !closing) expect(limits.headerTimeout, Awaited.HEAD)
    }

    /** Closes now when no request is being read or answered; otherwise the next answer closes. */
    fun closeWhenIdle() = onLoop { if (current == null && reading == null) channel.close() }

    fun abandon() = onLoop { channel.close() }

    private fun onLoop(action: () -> Unit) {
        if (channel.eventLoop().inEventLoop()) action() else channel.eventLoop().execute(action)
    }

    private fun readHead(message: NettyRequest) {
        if (server.deaf) return hangUp()
        val failure = message.decoderResult().cause()
        if (failure != null) return reject(statusOf(failure))
        val twoLengths = message.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size > 1
        val lengthAndChunks = HttpUtil.isTransferEncodingChunked(message) && message.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        val codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val strangeCoding = codings.isNotEmpty() && codings.singleOrNull()?.equals("chunked", ignoreCase = true) != true
        if (twoLengths || lengthAndChunks || strangeCoding) return reject(BAD_REQUEST)
        if (HttpUtil.getContentLength(message, 0L) > limits.bodyBytes) return reject(CONTENT_TOO_LARGE)
        if (HttpUtil.is100ContinueExpected(message)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        reading = RequestReader(message)
        expect(limits.idleTimeout, Awaited.BODY)
    }

    private fun readBody(content: HttpContent) {
        val request = reading ?: return
        if (content.decoderResult().isFailure) return reject(BAD_REQUEST)
        if (!request.take(content)) return reject(CONTENT_TOO_LARGE)
        if (content !is LastHttpContent) return expect(limits.idleTimeout, Awaited.BODY)
        reading = null
        if (!request.keepAlive) closing = true
        waiting.addLast(request.whole())
        if (waiting.size >= MOST_WAITING) channel.config().isAutoRead = false
        if (current == null) answerNext()
    }

    private fun answerNext() {
        val request = waiting.removeFirstOrNull()
        if (request == null) {
            if (closing || server.retiring) closeGently() else expect(limits.idleTimeout, Awaited.REQUEST)
            return
        }
        channel.config().isAutoRead = true
        awaited = Awaited.REQUEST
        timer?.cancel(false)
        val exchange = ServerExchange(request)
        current = exchange
        server.activeRequests.incrementAndGet()
        exchange.job =
            server.scope.launch(server.dispatcher, CoroutineStart.UNDISPATCHED) {
                try {
                    server.handler.handle(exchange)
                } finally {
                    server.activeRequests.decrementAndGet()
                    if (!exchange.ended) exchange.abort()
                }
            }
    }

    private fun answered() {
        current = null
        if (channel.isActive) answerNext()
    }

    /** Closes without having taken the request; one that is being answered ends first. */
    private fun hangUp() {
        closing = true
        if (current == null) channel.close()
    }

    /** Answers a request that is not passed on, and closes. */
    private fun reject(status: Int) {
        closing = true
        reading = null
        if (current != null) return
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.writeAndFlush(response).addListener(ChannelFutureListener { closeGently() })
    }

    private fun closeGently() {
        closing = true
        channel.shutdownOutput()
        timer?.cancel(false)
        timer = channel.eventLoop().schedule({ channel.close() }, ServerState.LINGER.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun expect(
        limit: Duration,
        awaited: Awaited,
    ) {
        this.awaited = awaited
        timer?.cancel(false)
        timer = channel.eventLoop().schedule({ expired(awaited) }, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun expired(awaited: Awaited) {
        when (awaited) {
            Awaited.REQUEST -> channel.close()
            Awaited.HEAD -> reject(REQUEST_TIMEOUT)
            Awaited.BODY -> if (reading != null) reject(REQUEST_TIMEOUT)
        }
    }

    private fun statusOf(failure: Throwable): Int =
        when (failure) {
            is TooLongHttpHeaderException, is TooLongHttpLineException -> FIELDS_TOO_LARGE
            else -> BAD_REQUEST
        }

    private enum class Awaited { REQUEST, HEAD, BODY }

    private inner class RequestReader(
        message: NettyRequest,
    ) {
        private val method = message.method().name()
        private val target = message.uri()
        private val fields = message.headers().map { HeaderField(it.key, it.value) }
        private val body = ByteArrayOutputStream(0)
        val keepAlive = HttpUtil.isKeepAlive(message)

        fun take(content: HttpContent): Boolean {
            val size = content.content().readableBytes()
            if (body.size() + size > limits.bodyBytes) return false
            body.write(ByteBufUtil.getBytes(content.content()))
            return true
        }

        fun whole() = HttpRequest(method, target, fields, body.toByteArray())
    }

    private inner class ServerExchange(
        override val request: HttpRequest,
    ) : HttpExchange {
        var job: Job? = null
        var ended = false
        private var writer: CancellableContinuation<Unit>? = null

        override suspend fun respond(
            status: Int,
            fields: List<HeaderField>,
            body: ByteArray,
        ) {
            if (gone()) return
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body))
            fields.forEach { response.headers().add(it.name, it.value) }
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.size)
            setConnection(response)
            channel.writeAndFlush(response)
            finish()
        }

        override suspend fun begin(head: HttpResponseHead) {
            if (gone()) return
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
            head.fields.forEach { response.headers().add(it.name, it.value) }
            val length = head.length
            if (length == null) HttpUtil.setTransferEncodingChunked(response, true) else HttpUtil.setContentLength(response, length)
            setConnection(response)
            channel.writeAndFlush(response)
        }

        override suspend fun write(bytes: ByteArray) {
            if (gone() || bytes.isEmpty()) return
            channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
            if (channel.isWritable) return
            suspendCancellableCoroutine { writer = it }
        }

        override suspend fun end() {
            if (gone()) return
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            finish()
        }

        override fun abort() {
            if (ended) return
            ended = true
            channel.close()
        }

        fun writable() {
            writer?.takeIf { it.isActive }?.resume(Unit)
            writer = null
        }

        fun callerLeft() {
            if (!ended) job?.cancel()
        }

        private fun gone() = ended || !channel.isActive

        private fun finish() {
            ended = true
            channel.eventLoop().execute { answered() }
        }

        private fun setConnection(response: io.netty.handler.codec.http.HttpResponse) {
            val last = (closing && waiting.isEmpty()) || server.retiring
            if (last) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            if (last) closing = true
        }
    }

    private companion object {
        const val MOST_WAITING = 4
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val CONTENT_TOO_LARGE = 413
        const val FIELDS_TOO_LARGE = 431
    }
}

/**
 * One connection to a server, which carries one request at a time.
 *
 * What a caller must know to stay truthful is kept apart: whether the connection ever opened, whether an answer ended as
 * it should, and whether bytes came that belong to no request.
 */
package lagoonrudder.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import lagoonrudder.model.Address
import lagoonrudder.model.HeaderField
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What comes back on a connection, in this order: a head, bytes, an end. [Broken] may take the place of any of them. */
sealed class HttpEvent {
    class Head(
        val head: HttpResponseHead,
    ) : HttpEvent()

    class Bytes(
        val data: ByteArray,
    ) : HttpEvent()

    data object End : HttpEvent()

    /** The connection ended or carried something that is no answer; the request may have been read. */
    data class Broken(
        val detail: String,
    ) : HttpEvent()
}

/** A request that was sent. Every function runs on the loop's thread. */
interface HttpCall {
    suspend fun next(): HttpEvent

    /** Ends the call; unless its answer has ended, the connection is closed. */
    fun abandon()
}

internal class HttpConnection(
    private val channel: SocketChannel,
    private val address: Address,
) : ChannelInboundHandlerAdapter() {
    private var call: OpenCall? = null
    private var spoiled = false

    /** How long the server keeps the connection while it is idle. */
    var keptFor: Duration = DEFAULT_KEEP
        private set

    /** Whether another request may be sent here. */
    val usable: Boolean get() = call == null && !spoiled && channel.isActive

    /** Sends [request]. An answer whose head [belongs] turns down is skipped, as it answers an earlier request. */
    fun send(
        request: HttpRequest,
        belongs: (HttpResponseHead) -> Boolean,
        released: (HttpConnection) -> Unit,
    ): HttpCall {
        val message =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method),
                request.target,
                Unpooled.wrappedBuffer(request.body),
            )
        request.fields.forEach { message.headers().add(it.name, it.value) }
        if (request.field("Host") == null) message.headers().set(HttpHeaderNames.HOST, address.toString())
        if (request.body.isNotEmpty() ||
            request.method != "GET"
        ) {
            message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        val opened = OpenCall(belongs, released)
        call = opened
        channel
            .writeAndFlush(
                message,
            ).addListener { if (it.isSuccess) opened.written = true else opened.fail("write failed: ${it.cause()}") }
        return opened
    }

    fun close() {
        spoiled = true
        channel.close()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            val open = call
            if (open == null) close() else open.read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        call?.fail("connection closed by $address")
    }

    @Deprecated("Netty declares this function deprecated for handlers of both directions")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        call?.fail(cause.toString())
        close()
    }

    private inner class OpenCall(
        private val belongs: (HttpResponseHead) -> Boolean,
        private val released: (HttpConnection) -> Unit,
    ) : HttpCall {
        // A channel could lose an event that arrives just as the wait for it is cancelled.
        private val events = ArrayDeque<HttpEvent>()
        private var reader: CancellableContinuation<Unit>? = null
        private var waitingBytes = 0
        private var skipping = false
        private var ended = false
        private var keep = true
        var written = false

        override suspend fun next(): HttpEvent {
            while (events.isEmpty()) suspendCancellableCoroutine { reader = it }
            val event = events.removeFirst()
            if (event is HttpEvent.Bytes) taken(event.data.size)
            return event
        }

        override fun abandon() {
            if (ended) return
            ended = true
            detach()
            close()
        }

        fun fail(detail: String) {
            if (ended) return
            ended = true
            deliver(HttpEvent.Broken(detail))
            detach()
            close()
        }

        fun read(message: Any) {
            if (ended) return
            if (message is HttpResponse && !readHead(message)) return
            if (message is HttpContent) readContent(message)
        }

        private fun readHead(response: HttpResponse): Boolean {
            if (response.decoderResult().isFailure) {
                fail("not an answer: ${response.decoderResult().cause()}")
                return false
            }
            val head = headOf(response)
            skipping = head.status < FINAL_STATUS || !belongs(head)
            keep = HttpUtil.isKeepAlive(response) && (head.length != null || HttpUtil.isTransferEncodingChunked(response))
            if (!skipping) {
                keptFor = keptFor(head)
                deliver(HttpEvent.Head(head))
            }
            return true
        }

        private fun readContent(content: HttpContent) {
            if (content.decoderResult().isFailure) return fail("damaged body: ${content.decoderResult().cause()}")
            val bytes = ByteBufUtil.getBytes(content.content())
            if (bytes.isNotEmpty() && !skipping) {
                waitingBytes += bytes.size
                if (waitingBytes > READ_WINDOW_BYTES) channel.config().isAutoRead = false
                deliver(HttpEvent.Bytes(bytes))
            }
            if (content is LastHttpContent) finish()
        }

        private fun finish() {
            if (skipping) {
                skipping = false
                return
            }
            ended = true
            deliver(HttpEvent.End)
            detach()
            if (keep && written) released(this@HttpConnection) else close()
        }

        private fun deliver(event: HttpEvent) {
            events.addLast(event)
            reader?.takeIf { it.isActive }?.resume(Unit)
            reader = null
        }

        private fun detach() {
            if (call === this) call = null
            channel.config().isAutoRead = true
        }

        private fun taken(size: Int) {
            waitingBytes -= size
            if (waitingBytes <= READ_WINDOW_BYTES / 2 && !channel.config().isAutoRead) channel.config().isAutoRead = true
        }
    }

    private fun headOf(response: HttpResponse): HttpResponseHead {
        val length = HttpUtil.getContentLength(response, -1L).takeIf { it >= 0 }
        return HttpResponseHead(response.status().code(), response.headers().map { HeaderField(it.key, it.value) }, length)
    }

    /** The server's own idle limit, less a second for what is on its way. */
    private fun keptFor(head: HttpResponseHead): Duration {
        val stated =
            head.field("Keep-Alive")?.let {
                KEEP_ALIVE_SECONDS
                    .find(it)
                    ?.groupValues
                    ?.get(1)
                    ?.toIntOrNull()
            } ?: return DEFAULT_KEEP
        return (stated.seconds - KEEP_MARGIN).coerceAtLeast(Duration.ZERO)
    }

    private companion object {
        const val FINAL_STATUS = 200

        /** What may wait in the process of one answer before reading is held back, in bytes. */
        const val READ_WINDOW_BYTES = 32_768
        val DEFAULT_KEEP = 4.seconds
        val KEEP_MARGIN = 1.seconds
        val KEEP_ALIVE_SECONDS = Regex("timeout=(\\d+)")
    }
}

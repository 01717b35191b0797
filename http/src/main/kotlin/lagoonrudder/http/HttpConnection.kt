/**
 * A client connection to a server, which carries one request at a time.
 *
 * It distinguishes the cases that decide what a caller may claim about a request: whether the connection was ever
 * established, whether a response was complete, and whether bytes arrived that belong to no request.
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
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An event of a response, in the order head, bytes, end. [Broken] may replace any of them and is the last event. */
sealed class HttpEvent {
    class Head(
        val head: HttpResponseHead,
    ) : HttpEvent()

    class Bytes(
        val data: ByteArray,
    ) : HttpEvent()

    data object End : HttpEvent()

    /**
     * The connection was closed, in which case [disconnected] is set, or sent an invalid response. The server may have received the
     * request.
     */
    data class Broken(
        val detail: String,
        val disconnected: Boolean,
    ) : HttpEvent()
}

/** Whose request the head of a response answers. */
enum class ResponseOwner {
    THIS_REQUEST,
    OTHER_REQUEST,

    /** The head names no request, so it may be a late copy of an earlier response on the same connection. */
    UNKNOWN,
}

/** A request in progress. All functions must be called on the event loop thread. */
interface HttpCall {
    suspend fun next(): HttpEvent

    /** Cancels the call, and closes its connection unless the response is complete. */
    fun abandon()
}

internal class HttpConnection(
    private val channel: SocketChannel,
    private val address: Address,
    private val decoder: ResponseDecoder,
) : ChannelInboundHandlerAdapter() {
    private var call: OpenCall? = null
    private var closed = false
    private var carriedRequest = false

    /** How long the server keeps the connection open while it is idle. */
    var keepAlive: Duration = DEFAULT_KEEP_ALIVE
        private set

    /** Whether another request may be sent on this connection. */
    val reusable: Boolean get() = call == null && !closed && channel.isActive

    /**
     * Sends [request]. A response to another request is skipped. One that names no request is accepted only if this connection
     * has carried no other request and no response to one, because it can't be a late copy then.
     */
    fun send(
        request: HttpRequest,
        ownerOf: (HttpResponseHead) -> ResponseOwner,
        onRelease: (HttpConnection) -> Unit,
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
        decoder.expectsBody = request.method != "HEAD"
        val opened = OpenCall(ownerOf, onRelease, mayHoldEarlierResponses = carriedRequest)
        carriedRequest = true
        call = opened
        channel
            .writeAndFlush(
                message,
            ).addListener { if (it.isSuccess) opened.written = true else opened.fail("request write to $address failed: ${it.cause()}") }
        return opened
    }

    fun close() {
        closed = true
        channel.close()
    }

    /** Called with the size of every read, before its bytes are decoded. Bytes between two responses belong to no request. */
    fun onBytesReceived(size: Int) {
        val open = call
        if (open == null) close() else open.onBytesReceived(size)
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
        call?.fail("connection closed by $address before the end of the response", disconnected = true)
    }

    @Deprecated("Netty declares this function deprecated for handlers of both directions")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        call?.fail(cause.toString(), disconnected = cause is IOException)
        close()
    }

    private inner class OpenCall(
        private val ownerOf: (HttpResponseHead) -> ResponseOwner,
        private val onRelease: (HttpConnection) -> Unit,
        private var mayHoldEarlierResponses: Boolean,
    ) : HttpCall {
        // Not a coroutine channel, which can lose an event that arrives while its receiver is being cancelled.
        private val events = ArrayDeque<HttpEvent>()
        private var reader: CancellableContinuation<Unit>? = null

        /** The latest bytes that are not read yet, in one piece, so that many small ones take no more memory than their bytes. */
        private var latestBytes = ByteArrayOutputStream(0)
        private var unreadBytes = 0
        private var bytesBeforeHead = 0L
        private var hasHead = false
        private var skipping = false
        private var ended = false
        private var persistent = true
        var written = false

        override suspend fun next(): HttpEvent {
            while (events.isEmpty() && latestBytes.size() == 0) suspendCancellableCoroutine { reader = it }
            if (events.isEmpty()) addLatestBytes()
            val event = events.removeFirst()
            if (event is HttpEvent.Bytes) consumed(event.data.size)
            return event
        }

        override fun abandon() {
            if (ended) return
            ended = true
            detach()
            // A reset discards what has not reached a server that stands still; after an orderly close it would still be served.
            channel.config().soLinger = 0
            close()
        }

        fun fail(
            detail: String,
            disconnected: Boolean = false,
        ) {
            if (ended) return
            ended = true
            deliver(HttpEvent.Broken(detail, disconnected))
            detach()
            close()
        }

        /** Fails the call when the server keeps sending without ever starting the response to this request. */
        fun onBytesReceived(size: Int) {
            if (hasHead || ended) return
            bytesBeforeHead += size
            if (bytesBeforeHead > MAX_BYTES_BEFORE_HEAD) {
                fail("$bytesBeforeHead bytes from $address without the head of a response to this request, limit $MAX_BYTES_BEFORE_HEAD")
            }
        }

        fun read(message: Any) {
            if (ended) return
            if (message is HttpResponse && !readHead(message)) return
            if (message is HttpContent) readContent(message)
        }

        private fun readHead(response: HttpResponse): Boolean {
            if (response.decoderResult().isFailure) {
                fail("invalid response head from $address: ${response.decoderResult().cause()}")
                return false
            }
            val head = headOf(response)
            if (holdsStatusLine(response)) {
                fail("invalid response head from $address: a status line inside the head, which is two heads run together")
                return false
            }
            // Whoever sends it is in trouble, and a status below 100 looks like an informational one, after which a response follows.
            if (head.status !in VALID_STATUSES) {
                fail("invalid response head from $address: status ${head.status}, expected 100 to 599")
                return false
            }
            skipping = head.status < FIRST_FINAL_STATUS || !isOwn(head)
            if (ended) return false
            persistent = HttpUtil.isKeepAlive(response) && !head.endsWithConnection
            if (!skipping) {
                hasHead = true
                keepAlive = keepAliveOf(head)
                deliver(HttpEvent.Head(head))
            }
            return true
        }

        private fun isOwn(head: HttpResponseHead): Boolean =
            when (ownerOf(head)) {
                ResponseOwner.THIS_REQUEST -> true
                ResponseOwner.OTHER_REQUEST -> {
                    mayHoldEarlierResponses = true
                    false
                }
                ResponseOwner.UNKNOWN -> {
                    if (mayHoldEarlierResponses) fail("response from $address names no request, on a connection that carried others before")
                    true
                }
            }

        private fun readContent(content: HttpContent) {
            if (content.decoderResult().isFailure) return fail("invalid response body from $address: ${content.decoderResult().cause()}")
            val bytes = ByteBufUtil.getBytes(content.content())
            if (bytes.isNotEmpty() && !skipping) {
                unreadBytes += bytes.size
                if (unreadBytes > READ_WINDOW_BYTES) channel.config().isAutoRead = false
                latestBytes.write(bytes)
                resumeReader()
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
            if (persistent && written && !decoder.holdsBytes) onRelease(this@HttpConnection) else close()
        }

        private fun deliver(event: HttpEvent) {
            addLatestBytes()
            events.addLast(event)
            resumeReader()
        }

        private fun addLatestBytes() {
            if (latestBytes.size() == 0) return
            events.addLast(HttpEvent.Bytes(latestBytes.toByteArray()))
            latestBytes = ByteArrayOutputStream(0)
        }

        private fun resumeReader() {
            reader?.takeIf { it.isActive }?.resume(Unit)
            reader = null
        }

        private fun detach() {
            if (call === this) call = null
            channel.config().isAutoRead = true
        }

        private fun consumed(size: Int) {
            unreadBytes -= size
            if (unreadBytes <= READ_WINDOW_BYTES / 2 && !channel.config().isAutoRead) channel.config().isAutoRead = true
        }
    }

    /**
     * Returns whether [response] has a second status line in its reason or in a field. A head that broke off on a line takes the
     * start of the next head into that line, and the fields of both would count as one response.
     */
    private fun holdsStatusLine(response: HttpResponse): Boolean =
        STATUS_LINE in response.status().reasonPhrase() || response.headers().any { STATUS_LINE in it.value }

    private fun headOf(response: HttpResponse): HttpResponseHead {
        val length = HttpUtil.getContentLength(response, -1L).takeIf { it >= 0 }
        val fields = response.headers().map { HeaderField(it.key, it.value) }
        val endsWithConnection = length == null && !HttpUtil.isTransferEncodingChunked(response)
        return HttpResponseHead(response.status().code(), fields, length, endsWithConnection)
    }

    /** Returns the server's keep-alive timeout, less a second for requests in transit. */
    private fun keepAliveOf(head: HttpResponseHead): Duration {
        val stated =
            head.field("Keep-Alive")?.let {
                KEEP_ALIVE_SECONDS
                    .find(it)
                    ?.groupValues
                    ?.get(1)
                    ?.toIntOrNull()
            } ?: return DEFAULT_KEEP_ALIVE
        return (stated.seconds - KEEP_ALIVE_MARGIN).coerceAtLeast(Duration.ZERO)
    }

    private companion object {
        val VALID_STATUSES = 100..599
        const val FIRST_FINAL_STATUS = 200

        /** Far above the informational and late responses that a sound server may send before the expected one. */
        const val MAX_BYTES_BEFORE_HEAD = 131_072L

        /** The number of unread bytes of a response above which reading from the socket is suspended. */
        const val READ_WINDOW_BYTES = 32_768
        val DEFAULT_KEEP_ALIVE = 4.seconds
        val KEEP_ALIVE_MARGIN = 1.seconds
        val STATUS_LINE = Regex("HTTP/\\d\\.\\d \\d{3}")
        val KEEP_ALIVE_SECONDS = Regex("timeout=(\\d+)")
    }
}

/**
 * A request on a connection of a caller and the response to it, which ends once its last bytes are written to the connection.
 *
 * Until then they wait in this process and are lost with the connection, so a caller that reads slowly keeps the exchange in progress.
 */
package lagoonrudder.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.suspendCancellableCoroutine
import lagoonrudder.model.Clock
import lagoonrudder.model.HeaderField
import kotlin.coroutines.resume
import kotlin.time.Duration
import io.netty.handler.codec.http.HttpResponse as NettyResponse

internal class ServerExchange(
    override val request: HttpRequest,
    private val channel: SocketChannel,
    private val connection: Connection,
    private val receivedAt: Duration,
    private val clock: Clock,
) : HttpExchange {
    /** The connection that carries an exchange. */
    interface Connection {
        /** Returns whether the response that begins now is the last one, and lets none follow if it is. */
        fun isLast(): Boolean

        /** The whole response was written to the connection. */
        fun onTaken()

        /** The response to the request for [target] is complete, but the connection was closed before all of it was written. */
        fun onCut(target: String)

        /** Closes the connection now. */
        fun close()
    }

    override val age: Duration get() = clock.elapsed() - receivedAt

    var job: Job? = null
    private var begun = false

    /** Whether nothing is added to the response any more. */
    private var ended = false

    /** Whether the whole response was written to the connection. */
    private var taken = false

    /** The bytes of the body that are still due; null if the response has no stated length. */
    private var bytesLeft: Long? = null
    private var writer: CancellableContinuation<Unit>? = null

    override suspend fun respond(
        status: Int,
        fields: List<HeaderField>,
        body: ByteArray,
    ) {
        if (isClosed()) return
        check(!begun) { "response with status $status after another one has begun" }
        sendComplete(status, fields, body)
    }

    private fun sendComplete(
        status: Int,
        fields: List<HeaderField>,
        body: ByteArray,
    ) {
        begun = true
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body))
        fields.forEach { response.headers().add(it.name, it.value) }
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.size)
        setConnection(response)
        finish(channel.writeAndFlush(response))
    }

    override suspend fun begin(head: HttpResponseHead) {
        if (isClosed()) return
        check(!begun) { "response with status ${head.status} after another one has begun" }
        begun = true
        bytesLeft = head.length
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        head.fields.forEach { response.headers().add(it.name, it.value) }
        val length = head.length
        if (length == null) HttpUtil.setTransferEncodingChunked(response, true) else HttpUtil.setContentLength(response, length)
        setConnection(response)
        channel.writeAndFlush(response)
    }

    override suspend fun write(bytes: ByteArray) {
        if (isClosed() || bytes.isEmpty()) return
        bytesLeft?.let {
            check(bytes.size <= it) { "body longer than its stated length: ${bytes.size} bytes, expected at most $it" }
            bytesLeft = it - bytes.size
        }
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        if (!channel.isWritable) awaitWriter()
    }

    override suspend fun end() {
        if (isClosed()) return
        val due = bytesLeft ?: 0
        check(due == 0L) { "body shorter than its stated length: $due bytes are missing" }
        finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
    }

    override suspend fun awaitTaken() {
        // The end of a response is skipped on a connection that has just been closed; the request is cancelled for that next.
        if (!taken && (ended || !channel.isActive)) awaitWriter()
    }

    /** Ends the request with [status], or breaks its response off if that has begun. A complete response is left to its caller. */
    fun endWith(status: Int) {
        if (ended) return
        job?.cancel(CancellationException("the server ended the request with status $status"))
        endUnfinished(status)
    }

    /** Gives a response with [status], or breaks off the one that has begun, unless it is complete. */
    fun endUnfinished(status: Int) {
        if (ended) return
        if (begun || !channel.isActive) abort() else sendComplete(status, emptyList(), NO_BYTES)
    }

    override fun abort() {
        if (taken) return
        ended = true
        connection.close()
    }

    fun onWritable() {
        if (!ended) resumeWriter()
    }

    /** Cancels the request, whose connection was closed for [reason], unless its response was written completely. */
    fun onDisconnected(reason: String) {
        if (!taken) job?.cancel(CancellationException(reason))
    }

    private suspend fun awaitWriter() = suspendCancellableCoroutine { writer = it }

    private fun resumeWriter() {
        writer?.takeIf { it.isActive }?.resume(Unit)
        writer = null
    }

    private fun isClosed() = ended || !channel.isActive

    private fun finish(lastWrite: ChannelFuture) {
        ended = true
        lastWrite.addListener { if (it.isSuccess) onTaken() else onCut() }
    }

    private fun onTaken() {
        taken = true
        resumeWriter()
        connection.onTaken()
    }

    private fun onCut() {
        connection.onCut(request.target)
        connection.close()
    }

    private fun setConnection(response: NettyResponse) {
        if (connection.isLast()) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }
}

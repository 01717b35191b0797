/**
 * The way back to a caller over HTTP: text as server-sent events, anything else as it is.
 */
package lagoonrudder.daemon.front

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.model.Failure
import lagoonrudder.model.VersionId
import lagoonrudder.traffic.entry.ResponseSink
import lagoonrudder.traffic.entry.CallerDisconnected
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.CharBuffer
import java.nio.charset.CharsetDecoder

/** The status line of an answer that has begun. */
data class ResponseStart(
    val status: Int,
    val contentType: String,
    val version: VersionId?,
)

/** The answer broke after its start; thrown to make the server close the connection. */
class ResponseBrokenException(
    failure: Failure,
) : IOException(failure.describe())

class HttpResponseSink : ResponseSink {
    /** Completed when the answer begins. */
    val started = CompletableDeferred<ResponseStart>()
    private val channel = CompletableDeferred<ByteWriteChannel>()
    private val text = Utf8StreamDecoder()

    /** Gives the sink the body to write to, once the status line is out. */
    fun attach(body: ByteWriteChannel) {
        channel.complete(body)
    }

    override suspend fun start(
        status: Int,
        contentType: String,
        version: VersionId?,
    ) {
        started.complete(ResponseStart(status, contentType, version))
        channel.await()
    }

    override suspend fun write(data: ByteArray) {
        if (started.await().version == null) send(data) else sendText(data)
    }

    override suspend fun finish(
        length: Long,
        checksum: Long,
    ) {
        val version = started.await().version ?: return
        val end = callerJson.encodeToString(CompletionEndJson.serializer(), CompletionEndJson(length, checksum, version.text))
        send("event: end\ndata: $end\n\n".encodeToByteArray())
    }

    override suspend fun abort(failure: Failure) = Unit

    private suspend fun sendText(data: ByteArray) {
        val piece = text.decode(data)
        if (piece.isEmpty()) return
        val json = callerJson.encodeToString(CompletionTextJson.serializer(), CompletionTextJson(piece))
        send("data: $json\n\n".encodeToByteArray())
    }

    private suspend fun send(bytes: ByteArray) {
        val body = channel.await()
        try {
            body.writeFully(bytes)
            body.flush()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (broken: IOException) {
            throw CallerDisconnected(broken)
        }
    }
}

/** Decodes UTF-8 that arrives in pieces which may end inside a character. */
internal class Utf8StreamDecoder {
    private val decoder: CharsetDecoder = Charsets.UTF_8.newDecoder()
    private var rest = ByteArray(0)

    fun decode(data: ByteArray): String {
        val input = ByteBuffer.wrap(rest + data)
        val output = CharBuffer.allocate(input.remaining())
        decoder.decode(input, output, false)
        rest = ByteArray(input.remaining()).also { input.get(it) }
        return output.flip().toString()
    }
}

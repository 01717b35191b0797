/**
 * Writes the response to a caller over HTTP: generated text as server-sent events, any other body unchanged.
 */
package lagoonrudder.daemon.front

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import lagoonrudder.model.Failure
import lagoonrudder.model.VersionId
import lagoonrudder.traffic.entry.CallerDisconnected
import lagoonrudder.traffic.entry.ResponseSink
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.CharBuffer
import java.nio.charset.CharsetDecoder

/** Status and headers of a response that has started. */
data class ResponseStart(
    val status: Int,
    val contentType: String,
    val version: VersionId?,
)

/** Thrown when a response failed after its start, to make the server close the connection without ending the body. */
class ResponseBrokenException(
    failure: Failure,
) : IOException(failure.describe())

class HttpResponseSink : ResponseSink {
    /** Completed when the response starts. */
    val started = CompletableDeferred<ResponseStart>()
    private val channel = CompletableDeferred<ByteWriteChannel>()
    private val decoder = Utf8StreamDecoder()

    /** Sets the channel of the body, after the status line and headers were sent. */
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
        val text = decoder.decode(data)
        if (text.isEmpty()) return
        val json = callerJson.encodeToString(CompletionTextJson.serializer(), CompletionTextJson(text))
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

/** Decodes UTF-8 from a stream of byte arrays, each of which may end inside a character. */
internal class Utf8StreamDecoder {
    private val decoder: CharsetDecoder = Charsets.UTF_8.newDecoder()
    private var undecoded = ByteArray(0)

    fun decode(data: ByteArray): String {
        val input = ByteBuffer.wrap(undecoded + data)
        val output = CharBuffer.allocate(input.remaining())
        decoder.decode(input, output, false)
        undecoded = ByteArray(input.remaining()).also { input.get(it) }
        return output.flip().toString()
    }
}

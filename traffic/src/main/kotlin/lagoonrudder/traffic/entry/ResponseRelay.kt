/**
 * Relays a response to its caller, either complete or visibly aborted, within the memory that the controllers allow.
 *
 * Bytes from the target go into a bounded buffer and from there to the caller. While the caller keeps up, the relay does its
 * own accounting; it asks the control thread for more memory only when the buffer grows beyond [BASE_BYTES]. A parked relay
 * cancels its attempt and resumes at its offset once the caller has read the buffered bytes.
 */
package lagoonrudder.traffic.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import lagoonrudder.control.BufferDecision
import lagoonrudder.model.Clock
import lagoonrudder.model.RequestId
import lagoonrudder.model.VersionId
import lagoonrudder.traffic.ResponseVerifier
import lagoonrudder.traffic.RunEvent
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class ResponseRelay(
    private val request: RequestId,
    private val control: EntryControl,
    private val clock: Clock,
) {
    private val verifier = ResponseVerifier(0)
    private val outgoing = Channel<ByteArray>(Channel.UNLIMITED)
    private val consumed = Channel<Unit>(Channel.CONFLATED)
    private val bufferedBytes = AtomicLong()

    /** The number of bytes that this response may buffer; changed on the control thread only. */
    @Volatile
    private var reservedBytes = BASE_BYTES

    /** Completed when the relay must park, that is, cancel its attempt until the caller has read the buffered bytes. */
    @Volatile
    var park = CompletableDeferred<Unit>()
        private set

    /** The version that serves the response; null until its head was forwarded, and for plain services. */
    var version: VersionId? = null
        private set
    var started = false
        private set

    /** The total time that the response was delayed by a caller that reads slowly. */
    var blockedByCaller: Duration = Duration.ZERO
        private set

    /** The number of bytes received so far, at which a resumed attempt must start. */
    val offset: Long get() = verifier.length

    val checksum: Long get() = verifier.checksum

    suspend fun start(
        head: RunEvent.Head,
        sink: ResponseSink,
    ) {
        started = true
        version = head.version
        sink.start(head.status, head.contentType, head.version)
    }

    /** Buffers bytes, suspending while there is no space for them; returns false if they do not continue the previous ones. */
    suspend fun append(bytes: RunEvent.Bytes): Boolean {
        if (!verifier.append(bytes.offset, bytes.data)) return false
        for (start in bytes.data.indices step MAX_CHUNK_BYTES) {
            val end = minOf(start + MAX_CHUNK_BYTES, bytes.data.size)
            val chunk = if (end - start == bytes.data.size) bytes.data else bytes.data.copyOfRange(start, end)
            enqueueChunk(chunk)
        }
        return true
    }

    private suspend fun enqueueChunk(chunk: ByteArray) {
        val startedAt = clock.elapsed()
        awaitBufferSpace(chunk.size.toLong())
        blockedByCaller += clock.elapsed() - startedAt
        bufferedBytes.addAndGet(chunk.size.toLong())
        outgoing.send(chunk)
    }

    /** Signals that no more bytes will follow. */
    fun complete() {
        outgoing.close()
    }

    /** Writes buffered bytes to the caller until [complete]. */
    suspend fun drain(sink: ResponseSink) {
        for (data in outgoing) {
            sink.write(data)
            bufferedBytes.addAndGet(-data.size.toLong())
            consumed.trySend(Unit)
            releaseBuffer()
        }
    }

    /** Suspends until the caller has read all buffered bytes. */
    suspend fun awaitDrained() {
        while (bufferedBytes.get() > 0) consumed.receive()
        control.thread.decide { control.readers.onResumed(request, clock.elapsed()) }
        park = CompletableDeferred()
    }

    private suspend fun awaitBufferSpace(bytes: Long) {
        while (bufferedBytes.get() > 0 && bufferedBytes.get() + bytes > reservedBytes) {
            when (control.thread.decide { reserveMore() }) {
                BufferDecision.Granted -> Unit
                BufferDecision.Wait -> awaitReadOrTimeout()
            }
        }
    }

    private fun reserveMore(): BufferDecision {
        val decision = control.readers.reserve(request, STEP_BYTES)
        if (decision is BufferDecision.Granted) reservedBytes += STEP_BYTES
        return decision
    }

    private suspend fun awaitReadOrTimeout() {
        select {
            consumed.onReceive { }
            @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
            onTimeout(SPACE_CHECK_INTERVAL) { }
        }
    }

    private suspend fun releaseBuffer() {
        if (reservedBytes <= BASE_BYTES || bufferedBytes.get() > BASE_BYTES / 2) return
        control.thread.decide {
            control.readers.onRead(request, reservedBytes - BASE_BYTES, clock.elapsed())
            reservedBytes = BASE_BYTES
        }
    }

    companion object {
        /** The number of bytes that every open response may buffer without a reservation. */
        const val BASE_BYTES = 4_096L
        private const val STEP_BYTES = 4_096L
        private const val MAX_CHUNK_BYTES = 2_048
        private val SPACE_CHECK_INTERVAL = 50.milliseconds
    }
}

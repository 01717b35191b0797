/**
 * Hands an answer on to its caller, whole or visibly broken, within the memory that the controllers allow.
 *
 * Bytes from the target go into a buffer of bounded size and from there to the caller. While the caller keeps up the
 * relay accounts for itself; only when the buffer grows past [BASE_BYTES] does it ask the control thread for more. A
 * relay that is parked gives up its attempt and is resumed from its offset once the caller has read what was held.
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
    private val whole = ResponseVerifier(0)
    private val buffered = Channel<ByteArray>(Channel.UNLIMITED)
    private val readSignal = Channel<Unit>(Channel.CONFLATED)
    private val held = AtomicLong()

    /** The bytes that this answer may hold; changed on the control thread only. */
    @Volatile
    private var granted = BASE_BYTES

    /** Completed when the relay should give up its attempt for now. */
    @Volatile
    var park = CompletableDeferred<Unit>()
        private set

    /** The version that the answer is from, once its head was handed on. */
    var version: VersionId? = null
        private set
    var started = false
        private set

    /** The time for which the caller has held the answer back. */
    var heldBack: Duration = Duration.ZERO
        private set

    /** The number of bytes taken in so far, which is where a resumed attempt must start. */
    val offset: Long get() = whole.length

    val checksum: Long get() = whole.checksum

    suspend fun start(
        head: RunEvent.Head,
        sink: ResponseSink,
    ) {
        started = true
        version = head.version
        sink.start(head.status, head.contentType, head.version)
    }

    /** Takes in bytes and suspends while there is no room for them; false when they don't follow what came before. */
    suspend fun take(bytes: RunEvent.Bytes): Boolean {
        if (!whole.follow(bytes.offset, bytes.data)) return false
        for (start in bytes.data.indices step LARGEST_PIECE) {
            val end = minOf(start + LARGEST_PIECE, bytes.data.size)
            val piece = if (end - start == bytes.data.size) bytes.data else bytes.data.copyOfRange(start, end)
            buffer(piece)
        }
        return true
    }

    private suspend fun buffer(piece: ByteArray) {
        val asked = clock.elapsed()
        awaitRoom(piece.size.toLong())
        heldBack += clock.elapsed() - asked
        held.addAndGet(piece.size.toLong())
        buffered.send(piece)
    }

    /** No more bytes will come. */
    fun complete() {
        buffered.close()
    }

    /** Writes to the caller until [complete]. */
    suspend fun drain(sink: ResponseSink) {
        for (data in buffered) {
            sink.write(data)
            held.addAndGet(-data.size.toLong())
            readSignal.trySend(Unit)
            giveBack()
        }
    }

    /** Suspends until the caller has read everything that is held. */
    suspend fun awaitRead() {
        while (held.get() > 0) readSignal.receive()
        control.thread.decide { control.readers.onResumed(request, clock.elapsed()) }
        park = CompletableDeferred()
    }

    private suspend fun awaitRoom(bytes: Long) {
        while (held.get() > 0 && held.get() + bytes > granted) {
            when (control.thread.decide { holdMore() }) {
                BufferDecision.Granted -> Unit
                BufferDecision.Wait -> awaitReadOrTime()
            }
        }
    }

    private fun holdMore(): BufferDecision {
        val decision = control.readers.reserve(request, STEP_BYTES)
        if (decision is BufferDecision.Granted) granted += STEP_BYTES
        return decision
    }

    private suspend fun awaitReadOrTime() {
        select {
            readSignal.onReceive { }
            @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
            onTimeout(ROOM_INTERVAL) { }
        }
    }

    private suspend fun giveBack() {
        if (granted <= BASE_BYTES || held.get() > BASE_BYTES / 2) return
        control.thread.decide {
            control.readers.onRead(request, granted - BASE_BYTES, clock.elapsed())
            granted = BASE_BYTES
        }
    }

    companion object {
        /** What every open answer may hold without asking, in bytes. */
        const val BASE_BYTES = 4_096L
        private const val STEP_BYTES = 4_096L
        private const val LARGEST_PIECE = 2_048
        private val ROOM_INTERVAL = 50.milliseconds
    }
}

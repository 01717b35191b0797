/**
 * The body of a request as it arrives, and the memory that all unfinished requests of a process share.
 */
package lagoonrudder.http

import io.netty.buffer.ByteBuf
import kotlin.time.Duration

/** The memory for the bodies of requests and for heads that are not complete yet. All functions are called on the event loop thread. */
interface BodyMemory {
    /**
     * Reserves [bytes] more for a body that has reserved [before]. Returns null if they are reserved, otherwise the time after which
     * the caller may try again.
     */
    fun reserve(
        bytes: Long,
        before: Long,
    ): Duration?

    /** Releases [bytes] that were reserved. */
    fun release(bytes: Long)

    /** Memory without a bound, for servers whose callers are all trusted. */
    data object Unbounded : BodyMemory {
        override fun reserve(
            bytes: Long,
            before: Long,
        ): Duration? = null

        override fun release(bytes: Long) = Unit
    }
}

/** A body of at most [maxBytes], for which memory is reserved before it is kept. */
internal class RequestBody(
    private val memory: BodyMemory,
    private val maxBytes: Int,
) {
    private var bytes = NO_BYTES
    private var size = 0
    private var reserved = 0L

    /** Whether [content] fits into the limit of a body. */
    fun allows(content: ByteBuf): Boolean = size + content.readableBytes() <= maxBytes

    /** Makes room for a body of [capacity] bytes. Returns the time after which the caller may try again if there is no memory for it. */
    fun reserve(capacity: Int): Duration? {
        val more = capacity - bytes.size
        if (more <= 0) return null
        memory.reserve(more.toLong(), reserved)?.let { return it }
        reserved += more
        bytes = bytes.copyOf(capacity)
        return null
    }

    /** Appends [content]; returns as [reserve] does. */
    fun append(content: ByteBuf): Duration? {
        val newSize = size + content.readableBytes()
        if (newSize > bytes.size) reserve(maxOf(newSize, minOf(2 * bytes.size, maxBytes)))?.let { return it }
        content.getBytes(content.readerIndex(), bytes, size, newSize - size)
        size = newSize
        return null
    }

    fun toByteArray(): ByteArray = if (size == bytes.size) bytes else bytes.copyOf(size)

    /** Releases the memory once nothing holds the body. */
    fun release() {
        memory.release(reserved)
        reserved = 0
    }
}

/**
 * Splits a stream of server-sent events into complete events, however its bytes are fragmented.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.model.EventId

/**
 * One event including the blank line that terminates it. [id] is null if the event has no `id` field. [isComment] is set if it
 * has nothing but comments.
 */
class StreamEvent(
    val bytes: ByteArray,
    val id: EventId?,
    val isComment: Boolean,
)

class EventSplitter {
    private var buffer = ByteArray(0)
    private var size = 0

    /** The position in [buffer] up to which no event ends, so that no byte is examined twice. */
    private var scanned = 0
    private var lineStart = 0

    /** Whether an incomplete event is buffered. */
    val hasPartialEvent: Boolean get() = size > 0

    /** Whether the incomplete event exceeds the size limit of an event. */
    val overflowed: Boolean get() = size > MAX_EVENT_BYTES

    /** Appends [data] and returns the events that it completes. */
    fun feed(data: ByteArray): List<StreamEvent> {
        append(data)
        val events = mutableListOf<StreamEvent>()
        var start = 0
        while (scanned < size) {
            val index = scanned++
            if (buffer[index] != LINE_FEED) continue
            val length = index - lineStart
            val blank = length == 0 || (length == 1 && buffer[lineStart] == CARRIAGE_RETURN)
            val endsEvent = blank && lineStart > start
            lineStart = scanned
            if (!endsEvent) continue
            val bytes = buffer.copyOfRange(start, scanned)
            events += eventOf(bytes)
            start = scanned
        }
        discard(start)
        return events
    }

    private fun append(data: ByteArray) {
        if (size + data.size > buffer.size) buffer = buffer.copyOf(maxOf(size + data.size, minOf(2 * buffer.size, MAX_EVENT_BYTES)))
        data.copyInto(buffer, size)
        size += data.size
    }

    /** Removes the first [count] bytes, which belong to complete events. */
    private fun discard(count: Int) {
        if (count == 0) return
        if (count == size) buffer = ByteArray(0) else buffer.copyInto(buffer, 0, count, size)
        size -= count
        scanned -= count
        lineStart -= count
    }

    private fun eventOf(bytes: ByteArray): StreamEvent {
        val lines = bytes.decodeToString().lines()
        val id =
            lines
                .firstOrNull { it.startsWith(ID_FIELD) }
                ?.removePrefix(ID_FIELD)
                ?.trim()
                ?.toLongOrNull()
        return StreamEvent(bytes, id?.let { EventId(it) }, isComment = lines.all { it.isEmpty() || it.startsWith(COMMENT) })
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val COMMENT = ":"

        /** An event holds a few tokens, so this is far above the size of any valid one. Each of many streams may hold as much. */
        const val MAX_EVENT_BYTES = 65_536
    }
}

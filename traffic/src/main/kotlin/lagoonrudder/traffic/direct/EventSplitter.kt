/**
 * Splits a stream of server-sent events into complete events, however its bytes are fragmented.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.model.EventId

/** One event including the blank line that terminates it. [id] is null if the event has no `id` field. */
class StreamEvent(
    val bytes: ByteArray,
    val id: EventId?,
)

class EventSplitter {
    private var pending = ByteArray(0)

    /** Whether an incomplete event is buffered. */
    val hasPartialEvent: Boolean get() = pending.isNotEmpty()

    /** Whether the incomplete event exceeds the size limit of an event. */
    val overflowed: Boolean get() = pending.size > MAX_EVENT_BYTES

    /** Appends [data] and returns the events that it completes. */
    fun feed(data: ByteArray): List<StreamEvent> {
        val all = if (pending.isEmpty()) data else pending + data
        val events = mutableListOf<StreamEvent>()
        var start = 0
        var end = endOfEvent(all, start)
        while (end > 0) {
            val bytes = all.copyOfRange(start, end)
            events += StreamEvent(bytes, idOf(bytes))
            start = end
            end = endOfEvent(all, start)
        }
        pending = if (start == 0) all else all.copyOfRange(start, all.size)
        return events
    }

    /** Returns the position after the blank line that terminates the event at [start], or -1. */
    private fun endOfEvent(
        bytes: ByteArray,
        start: Int,
    ): Int {
        var lineStart = start
        for (index in start until bytes.size) {
            if (bytes[index] != LINE_FEED) continue
            val length = index - lineStart
            val blank = length == 0 || (length == 1 && bytes[lineStart] == CARRIAGE_RETURN)
            if (blank && lineStart > start) return index + 1
            lineStart = index + 1
        }
        return -1
    }

    private fun idOf(event: ByteArray): EventId? {
        val line = event.decodeToString().lineSequence().firstOrNull { it.startsWith(ID_FIELD) } ?: return null
        return line
            .removePrefix(ID_FIELD)
            .trim()
            .toLongOrNull()
            ?.let { EventId(it) }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"

        /** An event holds a few tokens, so this is far above the size of any valid one. */
        const val MAX_EVENT_BYTES = 262_144
    }
}

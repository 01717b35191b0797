/**
 * Splits a stream of server-sent events into whole events, whatever pieces it arrives in.
 */
package lagoonrudder.traffic.direct

import lagoonrudder.model.EventId

/** One event with the blank line that ends it. [id] is null when the event names none. */
class StreamEvent(
    val bytes: ByteArray,
    val id: EventId?,
)

class EventSplitter {
    private var pending = ByteArray(0)

    /** Whether part of an event has arrived and its end has not. */
    val midEvent: Boolean get() = pending.isNotEmpty()

    /** Whether an event has grown so long without an end that it is none. */
    val overflowed: Boolean get() = pending.size > LONGEST_EVENT_BYTES

    /** The events that [data] completes. */
    fun take(data: ByteArray): List<StreamEvent> {
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

    /** The position after the blank line that ends the event at [start], or -1. */
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

        /** An event holds a few tokens; this is far more than any. */
        const val LONGEST_EVENT_BYTES = 262_144
    }
}

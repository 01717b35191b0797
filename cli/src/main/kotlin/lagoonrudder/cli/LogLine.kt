/**
 * Parses a line of a daemon's log: a timestamp and fields as key=value.
 */
package lagoonrudder.cli

import java.time.LocalDateTime
import java.time.format.DateTimeParseException

internal class LogLine(
    val at: LocalDateTime,
    val text: String,
    private val fields: Map<String, String>,
) {
    val event: String get() = fields["event"].orEmpty()
    val process: String get() = fields["process"].orEmpty()

    operator fun get(field: String): String? = fields[field]
}

/** Parses [text], which may have a prefix before its timestamp. Returns null if the line is not an event. */
internal fun readLogLine(text: String): LogLine? {
    val time = TIME.find(text) ?: return null
    val fields = FIELD.findAll(text, time.range.last).associate { it.groupValues[1] to it.groupValues[2].removeSurrounding("\"") }
    if ("event" !in fields) return null
    return try {
        LogLine(LocalDateTime.parse(time.value), text.substring(time.range.first), fields)
    } catch (_: DateTimeParseException) {
        // The text has the shape of a timestamp but is not a valid time, such as month 99.
        null
    }
}

private val TIME = Regex("""\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}""")
private val FIELD = Regex("""([\w-]+)=("[^"]*"|\S*)""")

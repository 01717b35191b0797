/**
 * One line of a daemon's log: a time, and fields as key=value.
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

/** Reads [text], which may have something before its time; null for a line that is no event. */
internal fun readLogLine(text: String): LogLine? {
    val time = TIME.find(text) ?: return null
    val fields = FIELD.findAll(text, time.range.last).associate { it.groupValues[1] to it.groupValues[2].removeSurrounding("\"") }
    if ("event" !in fields) return null
    return try {
        LogLine(LocalDateTime.parse(time.value), text.substring(time.range.first), fields)
    } catch (_: DateTimeParseException) {
        // A number of the right shape that is no time makes no event.
        null
    }
}

private val TIME = Regex("""\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}""")
private val FIELD = Regex("""([\w-]+)=("[^"]*"|\S*)""")

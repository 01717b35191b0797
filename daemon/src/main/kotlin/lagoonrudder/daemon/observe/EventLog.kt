/**
 * The log of a daemon: one line of key=value pairs for each event.
 */
package lagoonrudder.daemon.observe

import lagoonrudder.model.Failure
import lagoonrudder.model.Violation
import org.tinylog.kotlin.Logger

enum class LogLevel { INFO, WARNING, ERROR }

class EventLog(
    private val process: String,
) {
    fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = write(LogLevel.INFO, event, fields)

    fun warning(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = write(LogLevel.WARNING, event, fields)

    fun error(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = write(LogLevel.ERROR, event, fields)

    /** Logs [failure] with its step and peer. */
    fun failure(
        event: String,
        failure: Failure,
        vararg fields: Pair<String, Any?>,
    ) = write(
        LogLevel.WARNING,
        event,
        arrayOf("step" to failure.step.name.lowercase(), "peer" to failure.peer, "detail" to failure.detail, *fields),
    )

    /** Logs that the program broke an invariant of its own. */
    fun invariantViolated(violation: Violation) =
        error(
            "invariant-violated",
            "invariant" to violation.invariant.name.lowercase(),
            "step" to violation.step.name.lowercase(),
            "peer" to violation.peer,
            "detail" to violation.detail,
        )

    private fun write(
        level: LogLevel,
        event: String,
        fields: Array<out Pair<String, Any?>>,
    ) {
        val line = fields.joinToString("", prefix = "event=$event process=$process") { " ${it.first}=${quoted(it.second)}" }
        when (level) {
            LogLevel.INFO -> Logger.info(line)
            LogLevel.WARNING -> Logger.warn(line)
            LogLevel.ERROR -> Logger.error(line)
        }
    }

    private fun quoted(value: Any?): String {
        val text = value.toString().replace('\n', ' ')
        val plain = text.isNotEmpty() && text.none { it == ' ' || it == '"' || it == '=' }
        return if (plain) text else "\"${text.replace("\"", "'")}\""
    }
}

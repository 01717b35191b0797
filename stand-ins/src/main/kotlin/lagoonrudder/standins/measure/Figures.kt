/**
 * The options of measurements and the lines of key=value pairs that they print.
 */
package lagoonrudder.standins.measure

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** A line of key=value pairs in the order in which they were added; durations are printed in milliseconds. */
class Figures {
    private val pairs = mutableListOf<String>()

    fun add(
        key: String,
        value: Any?,
    ) {
        pairs += "$key=$value"
    }

    fun add(
        key: String,
        value: Double,
    ) {
        pairs += "$key=${"%.3f".format(value)}"
    }

    fun add(
        key: String,
        value: Duration,
    ) {
        pairs += "$key-ms=${"%.1f".format(value.toDouble(DurationUnit.MILLISECONDS))}"
    }

    override fun toString(): String = pairs.joinToString(" ")
}

/** Returns the line of key=value pairs that [build] adds. */
fun figures(build: Figures.() -> Unit): String = Figures().apply(build).toString()

/** The result of a measurement: its summary line and whether its thresholds were met. */
data class Verdict(
    val line: String,
    val passed: Boolean,
)

/** The options of a measurement, such as `--seed 7`, parsed from its command-line arguments. */
class MeasureOptions(
    private val arguments: List<String>,
) {
    fun long(
        name: String,
        default: Long,
    ): Long {
        val index = arguments.indexOf("--$name")
        if (index < 0) return default
        return arguments.getOrNull(index + 1)?.toLongOrNull() ?: throw InvalidOptionException("option --$name: expected an integer")
    }

    fun int(
        name: String,
        default: Int,
    ): Int = long(name, default.toLong()).toInt()
}

class InvalidOptionException(
    message: String,
) : Exception(message)

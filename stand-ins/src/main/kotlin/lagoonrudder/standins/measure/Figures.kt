/**
 * The lines of figures that measurements print.
 */
package lagoonrudder.standins.measure

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Collects key=value pairs in order. */
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

/** One line of figures. */
fun figures(build: Figures.() -> Unit): String = Figures().apply(build).toString()

/** What a measurement found: its last line and whether its targets hold. */
data class Verdict(
    val line: String,
    val passed: Boolean,
)

/** Options such as --seed 7 in the words after a command. */
class MeasureOptions(
    private val words: List<String>,
) {
    fun long(
        name: String,
        default: Long,
    ): Long {
        val index = words.indexOf("--$name")
        if (index < 0) return default
        return words.getOrNull(index + 1)?.toLongOrNull() ?: throw InvalidOptionException("option --$name: expected a whole number")
    }

    fun int(
        name: String,
        default: Int,
    ): Int = long(name, default.toLong()).toInt()
}

class InvalidOptionException(
    message: String,
) : Exception(message)

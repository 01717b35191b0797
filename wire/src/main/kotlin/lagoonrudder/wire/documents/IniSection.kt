/**
 * Reads INI text as sections of keys and values, with errors that name the file, the section and the key.
 */
package lagoonrudder.wire.documents

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.right
import lagoonrudder.model.Address
import lagoonrudder.model.Failure
import lagoonrudder.model.Location
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.model.addressOrNull
import org.ini4j.Config
import org.ini4j.Ini
import org.ini4j.InvalidFileFormatException
import java.io.StringReader
import kotlin.time.Duration

/** One section of an INI file. Reading a key that is missing or has an invalid value raises a [Failure.Malformed]. */
class IniSection internal constructor(
    val file: String,
    val name: String,
    private val values: Map<String, String>,
    private val step: Step,
) {
    private val readKeys = mutableSetOf<String>()

    fun Raise<Failure.Malformed>.text(key: String): String = optionalText(key) ?: raise(malformed(key, "expected a value, found none"))

    fun optionalText(key: String): String? {
        readKeys += key
        return values[key]?.takeIf { it.isNotBlank() }
    }

    /** All keys with their trimmed values. */
    fun pairs(): List<Pair<String, String>> = values.map { it.key to it.value.trim() }

    fun Raise<Failure.Malformed>.long(key: String): Long = number(key, text(key))

    fun Raise<Failure.Malformed>.longOr(
        key: String,
        default: Long,
    ): Long = optionalText(key)?.let { number(key, it) } ?: default

    fun Raise<Failure.Malformed>.int(key: String): Int {
        val number = long(key)
        if (number !in Int.MIN_VALUE..Int.MAX_VALUE) raise(malformed(key, "expected a 32-bit integer, found $number"))
        return number.toInt()
    }

    fun Raise<Failure.Malformed>.double(key: String): Double {
        val text = text(key)
        return text.toDoubleOrNull()?.takeIf { it.isFinite() } ?: raise(malformed(key, "expected a number, found \"$text\""))
    }

    fun Raise<Failure.Malformed>.boolean(key: String): Boolean =
        when (val text = text(key)) {
            "yes" -> true
            "no" -> false
            else -> raise(malformed(key, "expected yes or no, found \"$text\""))
        }

    fun Raise<Failure.Malformed>.duration(key: String): Duration {
        val text = text(key)
        return Duration.parseOrNull(text) ?: raise(malformed(key, "expected a duration such as 8s or 250ms, found \"$text\""))
    }

    fun Raise<Failure.Malformed>.address(key: String): Address = address(key, text(key))

    fun Raise<Failure.Malformed>.addresses(key: String): List<Address> =
        optionalText(key)
            .orEmpty()
            .split(',')
            .map { it.trim() }
            .filter { it.isNotEmpty() }
            .map { address(key, it) }

    fun <T : Enum<T>> Raise<Failure.Malformed>.enumValue(
        key: String,
        choices: List<T>,
    ): T {
        val text = text(key)
        val names = choices.joinToString(", ") { it.name.lowercase() }
        return choices.firstOrNull { it.name.lowercase() == text } ?: raise(malformed(key, "expected one of $names, found \"$text\""))
    }

    /** Raises a [Failure.Malformed] if the section contains a key that was not read. */
    fun Raise<Failure.Malformed>.rejectUnknownKeys() {
        val unknown = values.keys.firstOrNull { it !in readKeys } ?: return
        raise(malformed(unknown, "expected one of ${readKeys.sorted().joinToString(", ")}"))
    }

    fun malformed(
        key: String,
        expected: String,
    ) = Failure.Malformed(step, Peer(PeerRole.OPERATOR, file), Location(file, name, key), expected)

    private fun Raise<Failure.Malformed>.number(
        key: String,
        text: String,
    ): Long = text.toLongOrNull() ?: raise(malformed(key, "expected an integer, found \"$text\""))

    private fun Raise<Failure.Malformed>.address(
        key: String,
        text: String,
    ): Address = addressOrNull(text) ?: raise(malformed(key, "expected an IP address and a port such as 127.0.0.1:7001, found \"$text\""))
}

/** Splits [text] into sections. Repeated sections and repeated keys are errors. */
fun readIni(
    text: String,
    file: String,
    step: Step,
): Either<Failure.Malformed, List<IniSection>> =
    either {
        val ini = parse(text, file, step).bind()
        ini.keys.map { name ->
            val sections = ini.getAll(name)
            val section = IniSection(file, name, sections.first().keys.associateWith { sections.first()[it].orEmpty() }, step)
            if (sections.size > 1) raise(section.malformed("", "expected a unique section name, found ${sections.size} sections"))
            val repeated = sections.first().keys.firstOrNull { sections.first().length(it) > 1 }
            if (repeated != null) raise(section.malformed(repeated, "expected one value, found several"))
            section
        }
    }

private fun parse(
    text: String,
    file: String,
    step: Step,
): Either<Failure.Malformed, Ini> {
    val ini = Ini()
    ini.config =
        Config().apply {
            isMultiSection = true
            isMultiOption = true
            isEscape = false
            isEmptyOption = true
        }
    return try {
        ini.load(StringReader(text))
        ini.right()
    } catch (invalid: InvalidFileFormatException) {
        val location = Location(file, "", "")
        Failure.Malformed(step, Peer(PeerRole.OPERATOR, file), location, "expected INI text: ${invalid.message}").left()
    }
}

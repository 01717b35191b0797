/**
 * Compression of large values in messages.
 *
 * Links between regions and those of target instances have little bandwidth, and a configuration with many routes repeats itself.
 */
package lagoonrudder.wire.messages

import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

internal fun deflate(bytes: ByteArray): ByteArray {
    val deflater = Deflater(Deflater.BEST_SPEED)
    try {
        deflater.setInput(bytes)
        deflater.finish()
        val output = ByteArrayOutputStream(bytes.size / 4)
        val buffer = ByteArray(BUFFER_BYTES)
        while (!deflater.finished()) output.write(buffer, 0, deflater.deflate(buffer))
        return output.toByteArray()
    } finally {
        deflater.end()
    }
}

/** Returns what [deflate] was given; throws [MalformedMessage] if [bytes] are damaged or hold more than [MAX_INFLATED_BYTES]. */
internal fun inflate(bytes: ByteArray): ByteArray {
    val inflater = Inflater()
    try {
        inflater.setInput(bytes)
        val output = ByteArrayOutputStream(bytes.size * 4)
        val buffer = ByteArray(BUFFER_BYTES)
        while (!inflater.finished()) {
            val size = inflater.inflate(buffer)
            if (size == 0 && !inflater.finished()) throw MalformedMessage("compressed value: ends early")
            output.write(buffer, 0, size)
            if (output.size() > MAX_INFLATED_BYTES) throw MalformedMessage("compressed value: more than $MAX_INFLATED_BYTES bytes")
        }
        return output.toByteArray()
    } catch (damaged: DataFormatException) {
        throw MalformedMessage("compressed value: ${damaged.message}")
    } finally {
        inflater.end()
    }
}

private const val BUFFER_BYTES = 8_192

/** Above the largest value that the platform's store keeps. */
private const val MAX_INFLATED_BYTES = 4_194_304

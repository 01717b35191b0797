/**
 * Incremental verification of one attempt's response: no gaps between its bytes, and the length and checksum of the end mark.
 */
package lagoonrudder.traffic

import java.util.zip.CRC32C

/** Verifies a response that starts at [offset]. */
class ResponseVerifier(
    offset: Long,
) {
    var length: Long = offset
        private set
    private val crc = CRC32C()

    /** The checksum of the bytes appended so far. */
    val checksum: Long get() = crc.value

    /** Appends [data] at [offset]; returns false if that is not where the previous bytes end. */
    fun append(
        offset: Long,
        data: ByteArray,
    ): Boolean {
        if (offset != length) return false
        crc.update(data)
        length += data.size
        return true
    }

    /** Returns whether the bytes so far have the given total length and checksum. */
    fun matchesEnd(
        length: Long,
        checksum: Long,
    ): Boolean = length == this.length && checksum == this.checksum
}

/** Returns the CRC-32C checksum of [data]. */
fun checksumOf(data: ByteArray): Long = CRC32C().apply { update(data) }.value

/**
 * The running check of one attempt's answer: bytes without gaps, and the length and checksum of the end mark.
 */
package lagoonrudder.traffic

import java.util.zip.CRC32C

/** Follows an answer that starts at [offset]. */
class ResponseVerifier(
    offset: Long,
) {
    var length: Long = offset
        private set
    private val sum = CRC32C()

    /** The checksum of the bytes so far. */
    val checksum: Long get() = sum.value

    /** Takes in [data] at [offset]; false when it doesn't follow what came before. */
    fun follow(
        offset: Long,
        data: ByteArray,
    ): Boolean {
        if (offset != length) return false
        sum.update(data)
        length += data.size
        return true
    }

    /** Whether the answer ends here with this length and checksum. */
    fun endsWith(
        length: Long,
        checksum: Long,
    ): Boolean = length == this.length && checksum == this.checksum
}

/** The CRC-32C checksum of [data]. */
fun checksumOf(data: ByteArray): Long = CRC32C().apply { update(data) }.value

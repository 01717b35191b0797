/**
 * Weights generated from the name of a version, for the fake origin and the samples.
 */
package lagoonrudder.standins

import lagoonrudder.model.Digest
import lagoonrudder.model.digestOf
import kotlin.random.Random

class SyntheticWeights(
    private val name: String,
    val bytes: Long,
    val chunkBytes: Int,
) {
    val chunkCount: Int = ((bytes + chunkBytes - 1) / chunkBytes).toInt()

    private val chunkDigests: List<Digest> by lazy { (0 until chunkCount).map { digestOf(chunk(it)) } }

    /** The chunk digests in hexadecimal, one per line. */
    val manifest: ByteArray by lazy { chunkDigests.joinToString("\n") { it.hexadecimal }.encodeToByteArray() }

    val manifestDigest: Digest by lazy { digestOf(manifest) }

    fun chunk(index: Int): ByteArray {
        val size = minOf(chunkBytes.toLong(), bytes - index.toLong() * chunkBytes).toInt()
        return Random("$name/$index".hashCode()).nextBytes(size)
    }
}

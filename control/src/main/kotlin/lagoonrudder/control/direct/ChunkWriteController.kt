/**
 * Decides whether a chunk that was written without an answer may still overwrite the chunks that are staged now.
 *
 * A back end stores a chunk whenever its write arrives, also after the sender has given up. The write has arrived when the
 * chunk is read back although another one was stored in its place since, or none before.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.Digest
import kotlin.time.Duration

class ChunkWriteController {
    private class Unsettled(
        val index: Int,
        val digest: Digest,
        val at: Duration,
    )

    private val unsettled = mutableListOf<Unsettled>()
    private val stored = mutableMapOf<Int, Digest>()

    /** Records that the back end has stored a chunk with [digest] at [index]. */
    fun onStored(
        index: Int,
        digest: Digest,
    ) {
        stored[index] = digest
    }

    /** Records that the write of a chunk with [digest] got no response, at [now]. */
    fun onUnanswered(
        index: Int,
        digest: Digest,
        now: Duration,
    ) {
        unsettled += Unsettled(index, digest, now)
    }

    /** Records that the chunk at [index] was read back with [digest]. */
    fun onRead(
        index: Int,
        digest: Digest,
    ) {
        if (stored[index] == digest) return
        unsettled.removeAll { it.index == index && it.digest == digest }
    }

    /** Records that the process that received all writes is gone. */
    fun onBackEndRestarted() {
        unsettled.clear()
        stored.clear()
    }

    /** Returns the chunks of [manifest] that a write of another version may still overwrite. */
    fun endangered(
        manifest: WeightManifest,
        now: Duration,
    ): List<Int> {
        unsettled.removeAll { now - it.at > CALL_LIFETIME }
        return unsettled.filter { manifest.digests.getOrNull(it.index) != it.digest }.map { it.index }.distinct()
    }
}

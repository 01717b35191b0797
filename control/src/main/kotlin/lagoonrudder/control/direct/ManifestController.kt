/**
 * Decides when a manifest is read again because chunks contradict it, and which of two copies is used.
 *
 * A manifest may be corrupted on its way like any other response, so it is a claim that chunks confirm or contradict. One
 * copy of a chunk that doesn't match may itself be corrupted. Two copies with the same bytes agree with each other, so the
 * manifest is doubted: it is read again from a source that has another copy, or from the origin. A daemon that got its copy
 * from a peer tells that peer of its doubt. Reads follow each other with growing pauses, since corrupted chunks may agree too.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.Digest
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The result of reading a doubted manifest again. */
sealed class ManifestReading {
    /** The other copy agrees with at least as many chunks, and is used from now on. */
    data class Replaced(
        val manifest: WeightManifest,
    ) : ManifestReading()

    /** The other copy is equal to the doubted one. */
    data object Confirmed : ManifestReading()

    /** The other copy contradicts more chunks than the doubted one, which stays in use. */
    data object Worse : ManifestReading()
}

class ManifestController {
    private data class Version(
        val model: ModelId,
        val number: WeightNumber?,
    )

    private class Pause {
        var nextReadAt = Duration.ZERO
        private var doublings = 0

        fun extend(now: Duration) {
            nextReadAt = now + minOf(FIRST_READ_PAUSE * (1 shl doublings), MAX_READ_PAUSE)
            doublings = (doublings + 1).coerceAtMost(MAX_DOUBLINGS)
        }
    }

    /** What the copies of one chunk that have arrived say about its digest. */
    private class ChunkEvidence {
        var matching: Digest? = null
            private set
        var mismatches = 0
            private set
        private val contradicting = ArrayDeque<Digest>()

        /** The digest that two copies have which don't match the manifest. */
        var repeated: Digest? = null
            private set

        val digest: Digest? get() = repeated ?: matching

        fun onMatch(digest: Digest) {
            matching = digest
            mismatches = 0
            forgetMismatches()
        }

        fun onMismatch(digest: Digest) {
            mismatches++
            if (digest in contradicting) repeated = digest
            contradicting += digest
            if (contradicting.size > MAX_COPIES) contradicting.removeFirst()
        }

        fun forgetMismatches() {
            contradicting.clear()
            repeated = null
        }

        fun onReplaced() {
            mismatches = 0
            repeated?.let { matching = it }
            forgetMismatches()
        }
    }

    private class Evidence {
        val chunks = mutableMapOf<Int, ChunkEvidence>()
        val readAgain = Pause()
        var peerDoubts: WeightManifest? = null
    }

    private val evidence = mutableMapOf<Version, Evidence>()
    private val unusable = mutableMapOf<Version, Pause>()

    /** Returns whether to read a manifest of which no usable copy is known. */
    fun mayRead(
        model: ModelId,
        number: WeightNumber?,
        now: Duration,
    ): Boolean = unusable[Version(model, number)]?.let { now >= it.nextReadAt } ?: true

    /** Records that a manifest was read that can't be used. */
    fun onUnusable(
        model: ModelId,
        number: WeightNumber?,
        now: Duration,
    ) = unusable.getOrPut(Version(model, number)) { Pause() }.extend(now)

    fun onUsable(
        model: ModelId,
        number: WeightNumber?,
    ) {
        unusable -= Version(model, number)
    }

    /** Records that a copy of chunk [index] of [manifest] has arrived, and that it has [digest]. */
    fun onChunk(
        manifest: WeightManifest,
        index: Int,
        digest: Digest,
    ) {
        val chunk = evidenceOf(manifest.model, manifest.number).chunks.getOrPut(index) { ChunkEvidence() }
        if (manifest.digests.getOrNull(index) == digest) chunk.onMatch(digest) else chunk.onMismatch(digest)
    }

    /** Records that a peer that has the same copy as this daemon doubts it. */
    fun onDoubtOfPeer(manifest: WeightManifest) {
        evidenceOf(manifest.model, manifest.number).peerDoubts = manifest
    }

    /** Returns whether [manifest] is doubted and may be read again now. */
    fun shouldReadAgain(
        manifest: WeightManifest,
        now: Duration,
    ): Boolean {
        val known = evidence[Version(manifest.model, manifest.number)] ?: return false
        val isContradicted = known.chunks.any { (index, chunk) -> chunk.repeated?.let { it != manifest.digests.getOrNull(index) } ?: false }
        return (isContradicted || known.peerDoubts == manifest) && now >= known.readAgain.nextReadAt
    }

    /** Returns whether to read [manifest] again now; if so, the next read has to wait. */
    fun beginReadAgain(
        manifest: WeightManifest,
        now: Duration,
    ): Boolean {
        if (!shouldReadAgain(manifest, now)) return false
        evidenceOf(manifest.model, manifest.number).readAgain.extend(now)
        return true
    }

    /** Records that [doubted] was read again and [found] was received; returns which of them is used. */
    fun onReadAgain(
        doubted: WeightManifest,
        found: WeightManifest,
    ): ManifestReading {
        val known = evidenceOf(doubted.model, doubted.number)
        return when {
            found == doubted -> {
                known.peerDoubts = null
                known.chunks.values.forEach { it.forgetMismatches() }
                ManifestReading.Confirmed
            }
            agreement(known, found) < agreement(known, doubted) -> ManifestReading.Worse
            else -> {
                known.peerDoubts = null
                known.chunks.values.forEach { it.onReplaced() }
                ManifestReading.Replaced(found)
            }
        }
    }

    /** Returns how long to wait before another copy of chunk [index] is fetched. */
    fun chunkPause(
        model: ModelId,
        number: WeightNumber,
        index: Int,
    ): Duration {
        val mismatches = evidence[Version(model, number)]?.chunks?.get(index)?.mismatches ?: 0
        val doublings = (mismatches - COPIES_WITHOUT_PAUSE).coerceIn(0, MAX_DOUBLINGS)
        return minOf(FIRST_CHUNK_PAUSE * (1 shl doublings), MAX_CHUNK_PAUSE)
    }

    private fun agreement(
        known: Evidence,
        manifest: WeightManifest,
    ): Int = known.chunks.count { (index, chunk) -> chunk.digest?.let { it == manifest.digests.getOrNull(index) } ?: false }

    /** Returns the evidence of a version; that of all but the newest few versions of a model is dropped. */
    private fun evidenceOf(
        model: ModelId,
        number: WeightNumber,
    ): Evidence {
        evidence[Version(model, number)]?.let { return it }
        val added = Evidence().also { evidence[Version(model, number)] = it }
        val versions = evidence.keys.filter { it.model == model }.sortedByDescending { it.number }
        evidence -= versions.drop(RETAINED_VERSIONS).toSet() - Version(model, number)
        return added
    }

    private companion object {
        val FIRST_READ_PAUSE = 250.milliseconds
        val MAX_READ_PAUSE = 8.seconds
        val FIRST_CHUNK_PAUSE = 60.milliseconds
        val MAX_CHUNK_PAUSE = 2.seconds
        const val MAX_DOUBLINGS = 6

        /** Two copies show whether the manifest is wrong; they and the one that matches its successor should come soon. */
        const val COPIES_WITHOUT_PAUSE = 2
        const val MAX_COPIES = 8
        const val RETAINED_VERSIONS = 4
    }
}

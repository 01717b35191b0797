/**
 * What lies in the staging area of a back end, as far as this daemon has stored or verified it.
 *
 * The area keeps one copy of a model, so chunks of another version overwrite those that are there. Chunks can turn bad while
 * they lie there.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.getOrElse
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.model.ClockReading
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.digestOf
import lagoonrudder.model.read
import lagoonrudder.platform.SlotClient
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The result of reading a chunk for a peer. */
sealed class StagedChunk {
    class Intact(
        val bytes: ByteArray,
    ) : StagedChunk()

    data object Missing : StagedChunk()

    /** The back end does not respond. */
    data object Unreadable : StagedChunk()
}

class StagingArea(
    private val core: DirectCore,
    private val backEnd: SlotClient,
) {
    private val intact = mutableSetOf<Int>()
    private val attempts = mutableMapOf<Int, Int>()
    private var verifiedAt: ClockReading? = null
    private var lastEndangered = emptyList<Int>()

    /** Whether this process has put the mark that chunks are being replaced under an order in the place of the first one. */
    var isMarked = false
        private set

    /** The version that is being staged; null if none has been since the back end started. */
    var manifest: WeightManifest? = null
        private set

    /** The number of chunks that are known to be there. */
    val size: Int get() = intact.size

    /** The time since the first read of the verification that found all chunks intact; null if some have changed since. */
    val timeSinceVerification: Duration? get() = verifiedAt?.let { core.clock.read().since(it) }

    private val isRecentlyVerified: Boolean get() = timeSinceVerification?.let { it < VERIFICATION_VALIDITY } ?: false

    /** Forgets what is there, for example because the back end restarted. */
    suspend fun clear() {
        manifest = null
        intact.clear()
        attempts.clear()
        verifiedAt = null
        reportHoldings()
    }

    /** Returns the digests of the chunks that are there up to the first missing one, for which it has null; null if one can't be read. */
    suspend fun digests(manifest: WeightManifest): List<Digest?>? {
        val digests = mutableListOf<Digest?>()
        for (index in manifest.digests.indices) {
            digests += read(manifest.model, index).getOrElse { return null }
            if (digests.last() == null) break
        }
        return digests
    }

    /** Begins to stage the version of [manifest], of which some chunks may be there already. */
    suspend fun begin(manifest: WeightManifest) {
        clear()
        this.manifest = manifest
        verify(manifest)
    }

    /** Returns the chunks of [manifest] that have to be fetched, in the order in which they are stored. */
    fun missing(manifest: WeightManifest): List<Int> =
        manifest.digests.indices
            .filter { it !in intact }
            .sortedBy { it == MARKED_INDEX }

    /** Returns how often chunk [index] could not be had. */
    fun attempts(index: Int): Int = attempts[index] ?: 0

    fun onFailedAttempt(index: Int) {
        attempts[index] = attempts(index) + 1
    }

    /** Stores a chunk of [manifest]; returns whether the back end has it. */
    suspend fun put(
        manifest: WeightManifest,
        index: Int,
        bytes: ByteArray,
    ): Boolean {
        val isStored = store(manifest.model, index, bytes, manifest.digests[index])
        if (isStored) {
            if (index == MARKED_INDEX) isMarked = false
            intact += index
            reportHoldings()
        }
        return isStored
    }

    /**
     * Puts a mark in the place of the first chunk, which tells later processes that the chunks are being replaced although an order may
     * load them. Returns whether the back end has it.
     */
    suspend fun mark(model: ModelId): Boolean {
        intact -= MARKED_INDEX
        reportHoldings()
        isMarked = store(model, MARKED_INDEX, MARK, MARK_DIGEST)
        return isMarked
    }

    /** Returns whether a process has left its mark, which is there until the chunks are complete; null if that can't be read. */
    suspend fun holdsMark(model: ModelId): Boolean? = read(model, MARKED_INDEX).fold({ null }, { it == MARK_DIGEST })

    /** Returns whether chunk [index] of [manifest] has to wait for others, since it replaces the mark. */
    fun isLast(
        manifest: WeightManifest,
        index: Int,
    ): Boolean = isMarked && index == MARKED_INDEX && missing(manifest).any { it != index }

    private suspend fun store(
        model: ModelId,
        index: Int,
        bytes: ByteArray,
        digest: Digest,
    ): Boolean {
        verifiedAt = null
        return when (val result = backEnd.stage(model, index, bytes)) {
            is Either.Right -> {
                core.thread.decide { core.chunkWrites.onStored(index, digest) }
                true
            }
            is Either.Left -> {
                core.log.failure("stage-failed", result.value, "piece" to index)
                result.value !is Failure.Unreachable && hasArrived(model, index, digest)
            }
        }
    }

    /** Returns whether a chunk whose write got no answer is there. If it is not, it may still arrive. */
    private suspend fun hasArrived(
        model: ModelId,
        index: Int,
        digest: Digest,
    ): Boolean {
        core.thread.decide { core.chunkWrites.onUnanswered(index, digest, core.clock.elapsed()) }
        return read(model, index).getOrElse { null } == digest
    }

    /** Reads a chunk that is there, for a peer. One that no longer matches its digest is missing from then on. */
    suspend fun readIntact(
        model: ModelId,
        number: WeightNumber,
        index: Int,
    ): StagedChunk {
        val staged = manifest
        if (staged == null || staged.model != model || staged.number != number || index !in intact) return StagedChunk.Missing
        val bytes = backEnd.staged(model, index).getOrElse { return StagedChunk.Unreadable }
        val digest = bytes?.let { digestOf(it) }
        if (digest != null) core.thread.decide { core.chunkWrites.onRead(index, digest) }
        if (digest != null && digest == staged.digests[index]) return StagedChunk.Intact(bytes)
        if (manifest == staged) {
            intact -= index
            verifiedAt = null
            reportHoldings()
        }
        return StagedChunk.Missing
    }

    /** Lets peers know what is intact. */
    private suspend fun reportHoldings() {
        val staged = manifest
        val chunks = intact.toSet()
        core.thread.decide {
            if (staged == null) core.holdings.onOwnCleared() else core.holdings.onOwnChunks(staged.model, staged.number, chunks)
        }
    }

    /** Reads the digest of a chunk back, null if it is missing. */
    private suspend fun read(
        model: ModelId,
        index: Int,
    ): Either<Failure, Digest?> =
        backEnd.staged(model, index).map { bytes ->
            bytes?.let { digestOf(it) }?.also { digest -> core.thread.decide { core.chunkWrites.onRead(index, digest) } }
        }

    /**
     * Returns whether an order can rely on the chunks of [manifest]: all are intact by a recent verification, and no write of
     * another version may still overwrite one.
     */
    suspend fun isReadyToLoad(manifest: WeightManifest): Boolean {
        if (!isRecentlyVerified) verify(manifest)
        return isStillReadyToLoad(manifest)
    }

    /** Returns whether an order can rely on what is known of the chunks of [manifest], without reading them again. */
    suspend fun isStillReadyToLoad(manifest: WeightManifest): Boolean {
        val endangered = core.thread.decide { core.chunkWrites.endangered(manifest, core.clock.elapsed()) }
        if (endangered != lastEndangered) core.log.info("chunks-endangered", "number" to manifest.number.number, "chunks" to endangered)
        lastEndangered = endangered
        return this.manifest == manifest && isRecentlyVerified && endangered.isEmpty()
    }

    /** Reads every chunk back and compares its digest. Those that do not match are missing from then on. */
    suspend fun verify(manifest: WeightManifest): Boolean {
        val startedAt = core.clock.read()
        val before = intact.toSet()
        for (index in manifest.digests.indices) {
            val isIntact = read(manifest.model, index).getOrElse { null } == manifest.digests[index]
            if (isIntact) intact += index else intact -= index
        }
        reportHoldings()
        val isComplete = intact.size == manifest.digests.size
        verifiedAt = startedAt.takeIf { isComplete }
        val damaged = before - intact
        if (isComplete || damaged.isNotEmpty()) {
            core.log.info(
                "verified",
                "number" to manifest.number.number,
                "intact" to intact.size,
                "damaged" to damaged.sorted(),
                "took" to core.clock.read().since(startedAt),
            )
        }
        return isComplete
    }

    private companion object {
        /** Covers the reads and the time in which a back end closes and drains. A chunk may turn bad meanwhile. */
        val VERIFICATION_VALIDITY = 2.seconds
        const val MARKED_INDEX = 0
        val MARK = "chunks are being replaced".encodeToByteArray()
        val MARK_DIGEST = digestOf(MARK)
    }
}

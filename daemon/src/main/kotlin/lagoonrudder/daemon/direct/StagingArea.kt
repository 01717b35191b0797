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
import lagoonrudder.model.digestOf
import lagoonrudder.model.read
import lagoonrudder.platform.SlotClient
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class StagingArea(
    private val core: DirectCore,
    private val backEnd: SlotClient,
) {
    private val intact = mutableSetOf<Int>()
    private val attempts = mutableMapOf<Int, Int>()
    private var verifiedAt: ClockReading? = null

    /** The version that is being staged; null if none has been since the back end started. */
    var manifest: WeightManifest? = null
        private set

    /** The number of chunks that are known to be there. */
    val size: Int get() = intact.size

    /** The time since the first read of the verification that found all chunks intact; null if some have changed since. */
    val timeSinceVerification: Duration? get() = verifiedAt?.let { core.clock.read().since(it) }

    private val isRecentlyVerified: Boolean get() = timeSinceVerification?.let { it < VERIFICATION_VALIDITY } ?: false

    /** Forgets what is there, for example because the back end restarted. */
    fun clear() {
        manifest = null
        intact.clear()
        attempts.clear()
        verifiedAt = null
    }

    /** Returns the digests of the chunks that are there, null for a missing one; null if one can't be read. */
    suspend fun digests(manifest: WeightManifest): List<Digest?>? =
        manifest.digests.indices.map { index ->
            val staged = backEnd.staged(manifest.model, index).getOrElse { return null }
            staged?.let { digestOf(it) }
        }

    /** Begins to stage the version of [manifest], of which some chunks may be there already. */
    suspend fun begin(manifest: WeightManifest) {
        clear()
        this.manifest = manifest
        verify(manifest)
    }

    /** Returns the chunks of [manifest] that have to be fetched. */
    fun missing(manifest: WeightManifest): List<Int> = manifest.digests.indices.filter { it !in intact }

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
        val staged = backEnd.stage(manifest.model, index, bytes)
        if (staged is Either.Left) core.log.failure("stage-failed", staged.value, "piece" to index)
        verifiedAt = null
        if (staged is Either.Right) intact += index
        return staged.isRight()
    }

    /** Returns whether all chunks of [manifest] are intact by a verification that is recent enough for an order to rely on. */
    suspend fun isReadyToLoad(manifest: WeightManifest): Boolean = isRecentlyVerified || (verify(manifest) && isRecentlyVerified)

    /** Reads every chunk back and compares its digest. Those that do not match are missing from then on. */
    suspend fun verify(manifest: WeightManifest): Boolean {
        val startedAt = core.clock.read()
        val before = intact.toSet()
        for (index in manifest.digests.indices) {
            val staged = backEnd.staged(manifest.model, index).getOrElse { null }
            val isIntact = staged != null && digestOf(staged) == manifest.digests[index]
            if (isIntact) intact += index else intact -= index
        }
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
        val VERIFICATION_VALIDITY = 1.seconds
    }
}

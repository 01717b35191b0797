/**
 * Schedules the chunks that a target daemon fetches, selects their sources, and limits the chunks that it keeps.
 *
 * Every chunk is verified against its digest on arrival and is available to peers immediately. A source that sends damaged
 * chunks, fails or is slow is avoided for a back-off period. Fetches between regions are limited to a share of the link, so
 * that live traffic takes precedence. A version that is no longer wanted is dropped with all its chunks.
 */
package lagoonrudder.control

import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.Digest
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.RegionId
import lagoonrudder.model.Step
import lagoonrudder.model.VersionId
import lagoonrudder.model.rendezvousScore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on concurrent fetches and on memory.
 *
 * [maxPrimaryFetches] bounds the concurrent fetches of chunks for which this holder is the primary, and
 * [maxSecondaryFetches] those of all other chunks. [memoryBytes] bounds the chunks that are held for peers and the engine.
 * [fetchTimeout] limits the time of a fetch.
 */
data class WeightFetchLimits(
    val maxPrimaryFetches: Int = 12,
    val maxSecondaryFetches: Int = 12,
    val memoryBytes: Long = 512_000_000,
    val fetchTimeout: Duration = 10.seconds,
)

sealed class FetchDecision {
    data class Fetch(
        val version: VersionId,
        val chunk: ChunkIndex,
        val source: ChunkSource,
    ) : FetchDecision()

    /** Nothing can be fetched before [until]. */
    data class Wait(
        val until: Duration,
    ) : FetchDecision()

    /** The maximum number of fetches is in progress. */
    data object Busy : FetchDecision()

    data object Complete : FetchDecision()
}

/** The result of a fetch. */
sealed class FetchResult {
    data class Received(
        val digest: Digest,
        val bytes: ByteArray,
    ) : FetchResult()

    /** The source is fetching the chunk but does not have it yet. */
    data object NotYet : FetchResult()

    data object Failed : FetchResult()
}

sealed class ChunkDecision {
    /** The chunk is valid: it is passed to the engine and to peers that wait for it. */
    data object Keep : ChunkDecision()

    /** The digest does not match. */
    data object Damaged : ChunkDecision()

    /** There is nothing to keep: the fetch brought no chunk, or the chunk is no longer wanted or already present. */
    data object Discard : ChunkDecision()
}

/** Progress of the version that is being fetched, in verified chunks. */
data class WeightProgress(
    val version: VersionId,
    val verified: Int,
    val chunks: Int,
) {
    val complete: Boolean get() = verified == chunks
}

class WeightFetchController(
    private var self: WeightHolder,
    private val policy: SourcePolicy,
    private val bounds: WeightFetchLimits,
    private val invariants: Invariants,
) {
    private class PendingChunk(
        val chunk: ChunkIndex,
        var notBefore: Duration = Duration.ZERO,
        var notYetCount: Int = 0,
    )

    private class VersionFetch(
        val version: OperatorObject.Version,
        val digests: List<Digest>,
        var plan: ChunkSourcePlan,
    ) {
        /** Chunks for which this holder is the primary source, so that other holders wait for them. */
        val primary = ArrayDeque<PendingChunk>()
        val secondary = ArrayDeque<PendingChunk>()
        val inProgress = mutableMapOf<ChunkIndex, PendingChunk>()

        fun queueOf(pending: PendingChunk): ArrayDeque<PendingChunk> = if (plan.isPrimarySource(pending.chunk)) primary else secondary

        fun primaryInProgress(): Int = inProgress.keys.count(plan::isPrimarySource)

        val verified = mutableSetOf<ChunkIndex>()
        val held = mutableMapOf<ChunkIndex, ByteArray>()
    }

    private var versionFetch: VersionFetch? = null
    private var objects = ObjectSet.EMPTY
    private var originRegion: RegionId? = null
    private val avoidedUntil = mutableMapOf<ChunkSource, Duration>()
    private val damagedChunks = mutableMapOf<ChunkSource, Int>()
    private val consecutiveFailures = mutableMapOf<ChunkSource, Int>()
    private val links = mutableMapOf<RegionId, TokenBucket>()
    private var heldBytes = 0L
    private var originBytes = 0L
    private var peerBytes = 0L

    /** Applies the object set that became active. */
    fun configure(set: ObjectSet) {
        objects = set
        set.regionOf(self.domain)?.let { self = self.copy(region = it) }
        originRegion =
            set.regions.values
                .firstOrNull { it.origin }
                ?.id
        versionFetch?.let { configureLinks(it.plan) }
    }

    /** Starts to fetch [version], which [holders] fetch or hold as well; any other version is dropped. */
    fun startFetch(
        version: OperatorObject.Version,
        digests: List<Digest>,
        holders: Collection<WeightHolder>,
    ) {
        val existing = versionFetch
        if (existing != null && existing.version == version) return updateHolders(existing, holders)
        drop()
        val plan = planFor(version, holders)
        val started = VersionFetch(version, digests, plan)
        val chunks = fetchOrder(version)
        chunks.filterNot(plan::isPrimarySource).forEach { started.secondary.addLast(PendingChunk(it)) }
        chunks.filter(plan::isPrimarySource).sortedBy { it.number }.forEach { started.primary.addLast(PendingChunk(it)) }
        versionFetch = started
        configureLinks(plan)
    }

    /** The daemons that fetch or hold the version may have changed. */
    fun updateHolders(holders: Collection<WeightHolder>) {
        versionFetch?.let { updateHolders(it, holders) }
    }

    /** Drops the version and releases its memory. */
    fun drop() {
        versionFetch = null
        heldBytes = 0
    }

    fun progress(): WeightProgress? = versionFetch?.let { WeightProgress(it.version.id, it.verified.size, it.digests.size) }

    /** Returns the next fetch to start; [onFetchEnded] must follow each [FetchDecision.Fetch]. */
    fun next(now: Duration): FetchDecision {
        val current = versionFetch ?: return FetchDecision.Complete
        if (current.verified.size == current.digests.size) return FetchDecision.Complete
        val primaryCount = current.primaryInProgress()
        val first = firstReady(current, current.primary, primaryCount < bounds.maxPrimaryFetches, now)
        if (first is FetchDecision.Fetch) return first
        val second = firstReady(current, current.secondary, current.inProgress.size - primaryCount < bounds.maxSecondaryFetches, now)
        return combine(first, second)
    }

    /** The fetch of [chunk] from [source] ended with [result]. */
    fun onFetchEnded(
        version: VersionId,
        chunk: ChunkIndex,
        source: ChunkSource,
        result: FetchResult,
        now: Duration,
    ): ChunkDecision {
        val current = versionFetch?.takeIf { it.version.id == version } ?: return ChunkDecision.Discard
        val pending = current.inProgress.remove(chunk) ?: return ChunkDecision.Discard
        if (result !is FetchResult.Received) linkBucket(source)?.refund(current.version.chunkBytes.toDouble())
        return when (result) {
            FetchResult.NotYet -> retryLater(current, pending, source, now)
            FetchResult.Failed -> backOff(current, pending, source, FAILURE_BACK_OFF, now)
            is FetchResult.Received -> verify(current, pending, source, result, now)
        }
    }

    /** Returns the bytes of a verified chunk for a peer, or null if they are not held. */
    fun heldChunk(
        version: VersionId,
        chunk: ChunkIndex,
    ): ByteArray? = versionFetch?.takeIf { it.version.id == version }?.held?.get(chunk)

    /** Whether this process fetches or holds [version], so that a peer may wait for a chunk of it. */
    fun isFetching(version: VersionId): Boolean = versionFetch?.version?.id == version

    /** The engine loaded the version: only the primary chunks of this holder are kept, for holders that join later. */
    fun onVersionLoaded() {
        val current = versionFetch ?: return
        current.held.keys
            .filterNot(current.plan::isPrimarySource)
            .forEach { evict(current, it) }
    }

    /** The engine lost the chunks that it had received: chunks that are no longer held here are fetched again. */
    fun onEngineReset() {
        val current = versionFetch ?: return
        val missing = current.verified.filter { it !in current.held }
        current.verified.removeAll(missing.toSet())
        missing.map { PendingChunk(it) }.forEach { current.queueOf(it).addLast(it) }
    }

    /** Returns the verified chunks that are held, for an engine that lost them. */
    fun heldChunks(): Map<ChunkIndex, ByteArray> = versionFetch?.held.orEmpty().toMap()

    fun dump(): DumpSection =
        dumpSection("weights") {
            entry("policy", policy)
            entry("version", versionFetch?.version?.id?.text)
            entry("verified", versionFetch?.verified?.size)
            entry("chunks", versionFetch?.digests?.size)
            entry("drawing", versionFetch?.inProgress?.size)
            entry("held-bytes", heldBytes)
            entry("origin-bytes", originBytes)
            entry("peer-bytes", peerBytes)
            entry("set-aside", avoidedUntil.size)
            entry("damaged", damagedChunks.values.sum())
        }

    private fun planFor(
        version: OperatorObject.Version,
        holders: Collection<WeightHolder>,
    ) = ChunkSourcePlan(policy, version.id, self, holders, originRegion, version.chunkCount)

    private fun updateHolders(
        current: VersionFetch,
        holders: Collection<WeightHolder>,
    ) {
        current.plan = planFor(current.version, holders)
        val open = current.primary + current.secondary
        current.primary.clear()
        current.secondary.clear()
        open.forEach { current.queueOf(it).addLast(it) }
        configureLinks(current.plan)
    }

    /**
     * Returns the chunks in an order that differs between holders, so that they don't all request the same chunk first. Primary
     * chunks are ordered by number on every holder instead, so that a primary fetches first what the next one waits for first.
     */
    private fun fetchOrder(version: OperatorObject.Version): List<ChunkIndex> =
        (0 until version.chunkCount)
            .map { ChunkIndex(it) }
            .sortedBy { rendezvousScore(self.daemon.text, it.number.toString()) }

    /** Shares each link among the region's holders in proportion to the chunks that they fetch over it, with a minimum for fallbacks. */
    private fun configureLinks(plan: ChunkSourcePlan) {
        val fetches = plan.crossRegionFetches()
        for (region in objects.regions.keys) {
            if (region == self.region) continue
            val bytes = objects.link(self.region, region)?.bytesPerSecond ?: continue
            val share = (fetches[region] ?: 0) / plan.chunksPerLink
            val rate = bytes * LINK_SHARE * maxOf(share, 1.0 / plan.holdersInRegion / FALLBACK_DIVISOR)
            val burst = rate * LINK_BURST_SECONDS
            links.getOrPut(region) { TokenBucket(rate, burst) }.configure(rate, burst)
        }
    }

    /** Returns the first fetch of [queue] that may start now, or [FetchDecision.Busy] if the queue is empty or has no free slot. */
    private fun firstReady(
        current: VersionFetch,
        queue: ArrayDeque<PendingChunk>,
        hasFreeSlot: Boolean,
        now: Duration,
    ): FetchDecision {
        if (!hasFreeSlot || queue.isEmpty()) return FetchDecision.Busy
        var earliest = Duration.INFINITE
        repeat(minOf(queue.size, MAX_CANDIDATES)) {
            val pending = queue.removeFirst()
            val source = sourceFor(current, pending, now)
            val ready = maxOf(pending.notBefore, linkReadyAt(current, source, now))
            if (ready <= now) return startChunk(current, pending, source, now)
            earliest = minOf(earliest, ready)
            queue.addLast(pending)
        }
        return FetchDecision.Wait(earliest)
    }

    private fun combine(
        first: FetchDecision,
        second: FetchDecision,
    ): FetchDecision =
        when {
            first is FetchDecision.Wait && second is FetchDecision.Wait -> FetchDecision.Wait(minOf(first.until, second.until))
            second is FetchDecision.Busy -> first
            else -> second
        }

    private fun startChunk(
        current: VersionFetch,
        pending: PendingChunk,
        source: ChunkSource,
        now: Duration,
    ): FetchDecision {
        linkBucket(source)?.tryTake(current.version.chunkBytes.toDouble(), now)
        current.inProgress[pending.chunk] = pending
        return FetchDecision.Fetch(current.version.id, pending.chunk, source)
    }

    private fun sourceFor(
        current: VersionFetch,
        pending: PendingChunk,
        now: Duration,
    ): ChunkSource {
        val sources = current.plan.sources(pending.chunk)
        return sources.firstOrNull { (avoidedUntil[it] ?: Duration.ZERO) <= now } ?: sources.last()
    }

    private fun linkReadyAt(
        current: VersionFetch,
        source: ChunkSource,
        now: Duration,
    ): Duration {
        val bucket = linkBucket(source) ?: return now
        return now + bucket.waitTime(current.version.chunkBytes.toDouble(), now)
    }

    private fun linkBucket(source: ChunkSource): TokenBucket? =
        when (source) {
            ChunkSource.Origin -> originRegion?.takeIf { it != self.region }?.let(links::get)
            is ChunkSource.Peer -> links[source.holder.region]
        }

    private fun retryLater(
        current: VersionFetch,
        pending: PendingChunk,
        source: ChunkSource,
        now: Duration,
    ): ChunkDecision {
        pending.notYetCount++
        if (pending.notYetCount % MAX_NOT_YET == 0) return backOff(current, pending, source, SLOW_BACK_OFF, now)
        pending.notBefore = now
        current.queueOf(pending).addLast(pending)
        return ChunkDecision.Discard
    }

    private fun backOff(
        current: VersionFetch,
        pending: PendingChunk,
        source: ChunkSource,
        duration: Duration,
        now: Duration,
    ): ChunkDecision {
        val failureCount = (consecutiveFailures[source] ?: 0) + 1
        consecutiveFailures[source] = failureCount
        avoidedUntil[source] = now + duration * (1 shl (failureCount - 1).coerceAtMost(MAX_DOUBLINGS))
        if (source is ChunkSource.Origin) pending.notBefore = now + ORIGIN_RETRY_DELAY
        current.queueOf(pending).addFirst(pending)
        return ChunkDecision.Discard
    }

    private fun verify(
        current: VersionFetch,
        pending: PendingChunk,
        source: ChunkSource,
        result: FetchResult.Received,
        now: Duration,
    ): ChunkDecision {
        if (result.digest != current.digests[pending.chunk.number]) {
            damagedChunks[source] = (damagedChunks[source] ?: 0) + 1
            backOff(current, pending, source, DAMAGE_BACK_OFF, now)
            return ChunkDecision.Damaged
        }
        consecutiveFailures.remove(source)
        countBytes(source, result.bytes.size)
        current.verified += pending.chunk
        hold(current, pending.chunk, result.bytes)
        return ChunkDecision.Keep
    }

    private fun countBytes(
        source: ChunkSource,
        bytes: Int,
    ) {
        when (source) {
            ChunkSource.Origin -> originBytes += bytes
            is ChunkSource.Peer -> peerBytes += bytes
        }
    }

    private fun hold(
        current: VersionFetch,
        chunk: ChunkIndex,
        bytes: ByteArray,
    ) {
        while (heldBytes + bytes.size > bounds.memoryBytes) {
            val evictable = current.held.keys.firstOrNull { !current.plan.isPrimarySource(it) } ?: break
            evict(current, evictable)
        }
        if (heldBytes + bytes.size > bounds.memoryBytes) return
        current.held[chunk] = bytes
        heldBytes += bytes.size
        invariants.check(heldBytes <= bounds.memoryBytes, Invariant.WEIGHT_MEMORY_WITHIN_BUDGET, Step.DRAW_CHUNK) { "held=$heldBytes" }
    }

    private fun evict(
        current: VersionFetch,
        chunk: ChunkIndex,
    ) {
        heldBytes -= current.held.remove(chunk)?.size ?: 0
    }

    private companion object {
        const val LINK_SHARE = 0.75
        const val LINK_BURST_SECONDS = 0.5
        const val MAX_CANDIDATES = 16
        const val FALLBACK_DIVISOR = 4
        const val MAX_DOUBLINGS = 4
        const val MAX_NOT_YET = 45
        val FAILURE_BACK_OFF = 5.seconds
        val SLOW_BACK_OFF = 10.seconds
        val DAMAGE_BACK_OFF = 20.seconds
        val ORIGIN_RETRY_DELAY = 1.seconds
    }
}

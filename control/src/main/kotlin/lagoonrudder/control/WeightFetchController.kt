/**
 * Decides which chunks a target daemon draws next, from whom, and what it keeps.
 *
 * Every chunk is checked against its digest when it arrives and is passed on at once. A source that sends damaged chunks,
 * fails or keeps its caller waiting is set aside for a while. Draws between regions keep to a share of the link, so that
 * live traffic goes first. A version that is no longer wanted is dropped with all its chunks.
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
 * [maxPrimaryFetches] bounds the draws at once of chunks that this holder leads, [maxSecondaryFetches] those of the others, [memoryBytes] the
 * bytes of chunks held for peers and the engine.
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

    /** Nothing can be drawn before [until]. */
    data class Wait(
        val until: Duration,
    ) : FetchDecision()

    /** As many draws as allowed are under way. */
    data object Busy : FetchDecision()

    data object Complete : FetchDecision()
}

/** How a draw ended. */
sealed class FetchResult {
    data class Received(
        val digest: Digest,
        val bytes: ByteArray,
    ) : FetchResult()

    /** The source will have the chunk but does not yet. */
    data object NotYet : FetchResult()

    data object Failed : FetchResult()
}

sealed class ChunkDecision {
    /** The chunk is good: it goes to the engine and to peers that wait for it. */
    data object Keep : ChunkDecision()

    data object Damaged : ChunkDecision()

    /** Not wanted any more, or here already. */
    data object Discard : ChunkDecision()
}

/** Progress of the version that is being drawn. */
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
    private class Pending(
        val chunk: ChunkIndex,
        var notBefore: Duration = Duration.ZERO,
        var notYet: Int = 0,
    )

    private class Draft(
        val version: OperatorObject.Version,
        val digests: List<Digest>,
        var plan: ChunkSourcePlan,
    ) {
        /** Chunks that others wait for, and the rest. */
        val led = ArrayDeque<Pending>()
        val followed = ArrayDeque<Pending>()
        val drawing = mutableMapOf<ChunkIndex, Pending>()

        fun queueOf(pending: Pending): ArrayDeque<Pending> = if (plan.isPrimarySource(pending.chunk)) led else followed

        fun drawingLed(): Int = drawing.keys.count(plan::isPrimarySource)

        val verified = mutableSetOf<ChunkIndex>()
        val held = mutableMapOf<ChunkIndex, ByteArray>()
    }

    private var draft: Draft? = null
    private var objects = ObjectSet.EMPTY
    private var originRegion: RegionId? = null
    private val aside = mutableMapOf<ChunkSource, Duration>()
    private val damage = mutableMapOf<ChunkSource, Int>()
    private val failures = mutableMapOf<ChunkSource, Int>()
    private val links = mutableMapOf<RegionId, TokenBucket>()
    private var heldBytes = 0L
    private var originBytes = 0L
    private var peerBytes = 0L

    /** Takes over a set that came into force. */
    fun configure(set: ObjectSet) {
        objects = set
        set.regionOf(self.domain)?.let { self = self.copy(region = it) }
        originRegion =
            set.regions.values
                .firstOrNull { it.origin }
                ?.id
        draft?.let { configureLinks(it.plan) }
    }

    /** Starts to draw [version] for [holders]; another version that was being drawn is dropped. */
    fun startFetch(
        version: OperatorObject.Version,
        digests: List<Digest>,
        holders: Collection<WeightHolder>,
    ) {
        val known = draft
        if (known != null && known.version == version) return updateHolders(known, holders)
        drop()
        val plan = planFor(version, holders)
        val started = Draft(version, digests, plan)
        val chunks = orderOf(version)
        chunks.filterNot(plan::isPrimarySource).forEach { started.followed.addLast(Pending(it)) }
        chunks.filter(plan::isPrimarySource).sortedBy { it.number }.forEach { started.led.addLast(Pending(it)) }
        draft = started
        configureLinks(plan)
    }

    /** The daemons that want the version may have changed. */
    fun updateHolders(holders: Collection<WeightHolder>) {
        draft?.let { updateHolders(it, holders) }
    }

    /** Forgets the version and gives back its memory. */
    fun drop() {
        draft = null
        heldBytes = 0
    }

    fun progress(): WeightProgress? = draft?.let { WeightProgress(it.version.id, it.verified.size, it.digests.size) }

    /** Decides on the next draw; a draw that is given out must be answered by [onFetchEnded]. */
    fun next(now: Duration): FetchDecision {
        val current = draft ?: return FetchDecision.Complete
        if (current.verified.size == current.digests.size) return FetchDecision.Complete
        val led = current.drawingLed()
        val first = firstReady(current, current.led, led < bounds.maxPrimaryFetches, now)
        if (first is FetchDecision.Fetch) return first
        val second = firstReady(current, current.followed, current.drawing.size - led < bounds.maxSecondaryFetches, now)
        return earlierOf(first, second)
    }

    /** Takes in how the draw of [chunk] ended. */
    fun onFetchEnded(
        version: VersionId,
        chunk: ChunkIndex,
        source: ChunkSource,
        result: FetchResult,
        now: Duration,
    ): ChunkDecision {
        val current = draft?.takeIf { it.version.id == version } ?: return ChunkDecision.Discard
        val pending = current.drawing.remove(chunk) ?: return ChunkDecision.Discard
        if (result !is FetchResult.Received) bucketOf(source)?.refund(current.version.chunkBytes.toDouble())
        return when (result) {
            FetchResult.NotYet -> again(current, pending, source, now)
            FetchResult.Failed -> setAside(current, pending, source, FAILED_ASIDE, now)
            is FetchResult.Received -> verify(current, pending, source, result, now)
        }
    }

    /** The bytes of a verified chunk when they are held, for peers. */
    fun held(
        version: VersionId,
        chunk: ChunkIndex,
    ): ByteArray? = draft?.takeIf { it.version.id == version }?.held?.get(chunk)

    /** Whether this process draws [version], so that a peer may wait for a chunk of it. */
    fun isFetching(version: VersionId): Boolean = draft?.version?.id == version

    /** The engine has the whole version: only what this holder leads stays in memory, for latecomers. */
    fun onVersionLoaded() {
        val current = draft ?: return
        current.held.keys
            .filterNot(current.plan::isPrimarySource)
            .forEach { forget(current, it) }
    }

    /** The engine lost what it had been given: everything that isn't held is drawn again. */
    fun onEngineReset() {
        val current = draft ?: return
        val lost = current.verified.filter { it !in current.held }
        current.verified.removeAll(lost.toSet())
        lost.map { Pending(it) }.forEach { current.queueOf(it).addLast(it) }
    }

    /** The chunks that are held and verified, to be handed to an engine that lost them. */
    fun heldChunks(): Map<ChunkIndex, ByteArray> = draft?.held.orEmpty().toMap()

    fun dump(): DumpSection =
        dumpSection("weights") {
            entry("policy", policy)
            entry("version", draft?.version?.id?.text)
            entry("verified", draft?.verified?.size)
            entry("chunks", draft?.digests?.size)
            entry("drawing", draft?.drawing?.size)
            entry("held-bytes", heldBytes)
            entry("origin-bytes", originBytes)
            entry("peer-bytes", peerBytes)
            entry("set-aside", aside.size)
            entry("damaged", damage.values.sum())
        }

    private fun planFor(
        version: OperatorObject.Version,
        holders: Collection<WeightHolder>,
    ) = ChunkSourcePlan(policy, version.id, self, holders, originRegion, version.chunkCount)

    private fun updateHolders(
        current: Draft,
        holders: Collection<WeightHolder>,
    ) {
        current.plan = planFor(current.version, holders)
        val open = current.led + current.followed
        current.led.clear()
        current.followed.clear()
        open.forEach { current.queueOf(it).addLast(it) }
        configureLinks(current.plan)
    }

    /**
     * An order of this holder's own, so that not everyone asks for the same chunk first. Led chunks go by their numbers
     * everywhere, so that what one lead draws first is what the next waits for first.
     */
    private fun orderOf(version: OperatorObject.Version): List<ChunkIndex> =
        (0 until version.chunkCount)
            .map { ChunkIndex(it) }
            .sortedBy { rendezvousScore(self.daemon.text, it.number.toString()) }

    /** Shares each link among the region's holders by the chunks that they draw over it; a stand-in gets a little. */
    private fun configureLinks(plan: ChunkSourcePlan) {
        val isFetching = plan.crossRegionFetches()
        for (region in objects.regions.keys) {
            if (region == self.region) continue
            val bytes = objects.link(self.region, region)?.bytesPerSecond ?: continue
            val share = (isFetching[region] ?: 0) / plan.chunksPerLink
            val rate = bytes * WEIGHT_SHARE * maxOf(share, 1.0 / plan.holdersInRegion / STAND_IN_PART)
            val burst = rate * LINK_BURST_SECONDS
            links.getOrPut(region) { TokenBucket(rate, burst) }.configure(rate, burst)
        }
    }

    /** The first draw in [queue] that may go now; [FetchDecision.Busy] when the queue is empty or has no free slot. */
    private fun firstReady(
        current: Draft,
        queue: ArrayDeque<Pending>,
        free: Boolean,
        now: Duration,
    ): FetchDecision {
        if (!free || queue.isEmpty()) return FetchDecision.Busy
        var earliest = Duration.INFINITE
        repeat(minOf(queue.size, LOOKS)) {
            val pending = queue.removeFirst()
            val source = sourceFor(current, pending, now)
            val ready = maxOf(pending.notBefore, linkReady(current, source, now))
            if (ready <= now) return draw(current, pending, source, now)
            earliest = minOf(earliest, ready)
            queue.addLast(pending)
        }
        return FetchDecision.Wait(earliest)
    }

    private fun earlierOf(
        first: FetchDecision,
        second: FetchDecision,
    ): FetchDecision =
        when {
            first is FetchDecision.Wait && second is FetchDecision.Wait -> FetchDecision.Wait(minOf(first.until, second.until))
            second is FetchDecision.Busy -> first
            else -> second
        }

    private fun draw(
        current: Draft,
        pending: Pending,
        source: ChunkSource,
        now: Duration,
    ): FetchDecision {
        bucketOf(source)?.take(current.version.chunkBytes.toDouble(), now)
        current.drawing[pending.chunk] = pending
        return FetchDecision.Fetch(current.version.id, pending.chunk, source)
    }

    private fun sourceFor(
        current: Draft,
        pending: Pending,
        now: Duration,
    ): ChunkSource {
        val sources = current.plan.sources(pending.chunk)
        return sources.firstOrNull { (aside[it] ?: Duration.ZERO) <= now } ?: sources.last()
    }

    private fun linkReady(
        current: Draft,
        source: ChunkSource,
        now: Duration,
    ): Duration {
        val bucket = bucketOf(source) ?: return now
        return now + bucket.wait(current.version.chunkBytes.toDouble(), now)
    }

    private fun bucketOf(source: ChunkSource): TokenBucket? =
        when (source) {
            ChunkSource.Origin -> originRegion?.takeIf { it != self.region }?.let(links::get)
            is ChunkSource.Peer -> links[source.holder.region]
        }

    private fun again(
        current: Draft,
        pending: Pending,
        source: ChunkSource,
        now: Duration,
    ): ChunkDecision {
        pending.notYet++
        if (pending.notYet % NOT_YET_LIMIT == 0) return setAside(current, pending, source, SLOW_ASIDE, now)
        pending.notBefore = now
        current.queueOf(pending).addLast(pending)
        return ChunkDecision.Discard
    }

    private fun setAside(
        current: Draft,
        pending: Pending,
        source: ChunkSource,
        time: Duration,
        now: Duration,
    ): ChunkDecision {
        val times = (failures[source] ?: 0) + 1
        failures[source] = times
        aside[source] = now + time * (1 shl (times - 1).coerceAtMost(MOST_DOUBLINGS))
        if (source is ChunkSource.Origin) pending.notBefore = now + ORIGIN_PAUSE
        current.queueOf(pending).addFirst(pending)
        return ChunkDecision.Discard
    }

    private fun verify(
        current: Draft,
        pending: Pending,
        source: ChunkSource,
        result: FetchResult.Received,
        now: Duration,
    ): ChunkDecision {
        if (result.digest != current.digests[pending.chunk.number]) {
            damage[source] = (damage[source] ?: 0) + 1
            setAside(current, pending, source, DAMAGED_ASIDE, now)
            return ChunkDecision.Damaged
        }
        failures.remove(source)
        count(source, result.bytes.size)
        current.verified += pending.chunk
        hold(current, pending.chunk, result.bytes)
        return ChunkDecision.Keep
    }

    private fun count(
        source: ChunkSource,
        bytes: Int,
    ) {
        when (source) {
            ChunkSource.Origin -> originBytes += bytes
            is ChunkSource.Peer -> peerBytes += bytes
        }
    }

    private fun hold(
        current: Draft,
        chunk: ChunkIndex,
        bytes: ByteArray,
    ) {
        while (heldBytes + bytes.size > bounds.memoryBytes) {
            val spare = current.held.keys.firstOrNull { !current.plan.isPrimarySource(it) } ?: break
            forget(current, spare)
        }
        if (heldBytes + bytes.size > bounds.memoryBytes) return
        current.held[chunk] = bytes
        heldBytes += bytes.size
        invariants.check(heldBytes <= bounds.memoryBytes, Invariant.WEIGHT_MEMORY_WITHIN_BUDGET, Step.DRAW_CHUNK) { "held=$heldBytes" }
    }

    private fun forget(
        current: Draft,
        chunk: ChunkIndex,
    ) {
        heldBytes -= current.held.remove(chunk)?.size ?: 0
    }

    private companion object {
        const val WEIGHT_SHARE = 0.75
        const val LINK_BURST_SECONDS = 0.5
        const val LOOKS = 16
        const val STAND_IN_PART = 4
        const val MOST_DOUBLINGS = 4
        const val NOT_YET_LIMIT = 45
        val FAILED_ASIDE = 5.seconds
        val SLOW_ASIDE = 10.seconds
        val DAMAGED_ASIDE = 20.seconds
        val ORIGIN_PAUSE = 1.seconds
    }
}

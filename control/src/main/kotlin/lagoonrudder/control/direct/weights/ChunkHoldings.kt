/**
 * Tracks which daemon holds which chunks of the two newest versions of each model, and decides what to tell each peer of it.
 *
 * A daemon tells the members of its failure domain what it holds and what the target daemons that report to it hold; another domain gets
 * the few holdings that cover most chunks, and a target daemon those of entry daemons. A holding expires soon after the last news of it,
 * so that a daemon that died is no longer asked. After a restart, a daemon collects holdings for a moment before it uses the origin, since
 * other daemons may hold what it lost.
 */
package lagoonrudder.control.direct.weights

import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** [address] is where this daemon serves chunks to its peers; one that serves none has no holdings to tell. */
class ChunkHoldings(
    private val peers: PeerController,
    private val storeView: StoreViewController,
    private val address: Address? = peers.self.address,
) {
    private data class Version(
        val model: ModelId,
        val number: WeightNumber,
    )

    /** What [holder] is known to hold. [refuted] are the chunks that it did not deliver since it reported them. */
    private class Heard(
        val holder: PeerDaemon,
        val address: Address,
        val chunks: BitSet,
        val heardAt: Duration,
        val isDirect: Boolean,
        val refuted: BitSet,
    )

    private class Told(
        val chunks: BitSet,
        val at: Duration,
    )

    private val own = mutableMapOf<Version, BitSet>()
    private val heard = mutableMapOf<Version, MutableMap<DaemonId, Heard>>()
    private val told = mutableMapOf<DaemonId, Map<Pair<Version, DaemonId>, Told>>()
    private var startedAt: Duration? = null
    private var prunedAt = Duration.ZERO

    /** Records that this daemon holds chunk [index] of a version, beside what it held before. */
    fun onOwnChunk(
        model: ModelId,
        number: WeightNumber,
        index: Int,
    ) {
        own.getOrPut(Version(model, number)) { BitSet() }.set(index)
        own.retainNewest(model)
    }

    /** Records that this daemon holds [chunks] of a version, and nothing else. */
    fun onOwnChunks(
        model: ModelId,
        number: WeightNumber,
        chunks: Set<Int>,
    ) {
        own.clear()
        own[Version(model, number)] = BitSet().apply { chunks.forEach { set(it) } }
    }

    /** Records that this daemon no longer holds anything of version [number]. */
    fun onOwnEvicted(
        model: ModelId,
        number: WeightNumber,
    ) {
        own.remove(Version(model, number))
    }

    /** Records that this daemon holds nothing. */
    fun onOwnCleared() = own.clear()

    /** Records what [from] told at [now] of itself and of other daemons. */
    fun onHeard(
        from: PeerDaemon,
        holdings: List<ChunkHolding>,
        now: Duration,
    ) {
        expire(now)
        if (holdings.isEmpty()) return
        val entries = peers.liveEntries(now).associateBy { it.daemon }
        for (holding in holdings.take(MAX_TOLD)) {
            if (holding.daemon == peers.self.daemon || holding.chunks.length() > MAX_CHUNKS) continue
            if (holding.age < Duration.ZERO || holding.age >= EXPIRY) continue
            record(holding, from, entries, now)
            heard.retainNewest(holding.model)
        }
    }

    private fun record(
        holding: ChunkHolding,
        from: PeerDaemon,
        entries: Map<DaemonId, PeerDaemon>,
        now: Duration,
    ) {
        val version = Version(holding.model, holding.number)
        if (version !in heard && heard.size >= MAX_VERSIONS) return
        val holders = heard.getOrPut(version) { mutableMapOf() }
        val known = holders[holding.daemon]
        val isDirect = holding.daemon == from.daemon
        val heardAt = now - holding.age
        if (!isDirect && known != null && !known.isOlderThan(heardAt, now)) return
        // The reporter of a target daemon is a member of its failure domain.
        val holder = if (isDirect) from else entries[holding.daemon] ?: from.copy(daemon = holding.daemon, role = DaemonRole.TARGET)
        val refuted = (known?.refuted ?: BitSet()).apply { and(holding.chunks) }
        holders[holding.daemon] = Heard(holder, holding.address, holding.chunks, heardAt, isDirect, refuted)
        if (holders.size > MAX_HOLDERS) holders.remove(holders.minBy { it.value.heardAt }.key)
    }

    /** Whether a repeated report from [reportedAt] replaces this one; what the holder said itself stands for as long as it goes on. */
    private fun Heard.isOlderThan(
        reportedAt: Duration,
        now: Duration,
    ): Boolean = heardAt < reportedAt && !(isDirect && now - heardAt < REFRESH_INTERVAL * 2)

    /** Records that [daemon] did not deliver chunk [index] that it had reported; it counts again once it reported to lack it. */
    fun onRefuted(
        daemon: DaemonId,
        model: ModelId,
        number: WeightNumber,
        index: Int,
    ) {
        if (index >= 0) heard[Version(model, number)]?.get(daemon)?.refuted?.set(index)
    }

    /** Returns the daemons that hold chunk [index], with the addresses at which they serve it; for a negative index, any chunk. */
    fun holders(
        model: ModelId,
        number: WeightNumber?,
        index: Int,
        now: Duration,
    ): List<PeerDaemon> {
        expire(now)
        val holders = number?.let { heard[Version(model, it)] } ?: return emptyList()
        return holders.values
            .filter { if (index < 0) it.available > 0 else it.chunks.get(index) && !it.refuted.get(index) }
            .map { it.holder.copy(address = it.address) }
    }

    private val Heard.available: Int get() = chunks.cardinality() - refuted.cardinality()

    /** Returns whether this daemon started so recently that other daemons may hold chunks that it has not heard of. */
    fun isCollecting(
        model: ModelId,
        now: Duration,
    ): Boolean {
        val started = startedAt ?: now.also { startedAt = it }
        // Nobody can hold chunks of a model before its first version was declared, other than by fetching them now.
        if (now - started >= COLLECTION_TIME || storeView.versions.newest[model] == null) return false
        return peers.seeds.any { it != peers.self.address } || peers.livePeers(now).isNotEmpty()
    }

    /** Returns what to tell [peer] now, which may be unknown yet: what changed since it was last told, or was told some time ago. */
    fun toTell(
        peer: PeerDaemon?,
        now: Duration,
    ): List<ChunkHolding> {
        expire(now)
        val chosen = chosenFor(peer, now)
        if (peer == null) return chosen.map { it.second }
        val before = told[peer.daemon].orEmpty()
        val (due, unchanged) =
            chosen.partition { (key, holding) ->
                val last = before[key]
                last == null || last.chunks != holding.chunks || now - last.at >= REFRESH_INTERVAL
            }
        if (chosen.isEmpty()) told.remove(peer.daemon)
        if (due.isEmpty()) return emptyList()
        told[peer.daemon] =
            unchanged.associate { (key, _) -> key to before.getValue(key) } +
            due.associate { (key, holding) -> key to Told(holding.chunks, now) }
        return due.map { it.second }
    }

    /** Records that [peer] may have lost what it was told: a message to it failed, or it has just started. */
    fun onForgotten(peer: DaemonId) {
        told.remove(peer)
    }

    private fun chosenFor(
        peer: PeerDaemon?,
        now: Duration,
    ): List<Pair<Pair<Version, DaemonId>, ChunkHolding>> {
        val versions = (own.keys + heard.keys).filter { isWanted(it, now) }.sortedByDescending { it.number }.take(MAX_VERSIONS_TOLD)
        if (versions.isEmpty()) return emptyList()
        val isNear = peer?.domain == peers.self.domain
        val limit = if (isNear) MAX_TOLD / versions.size else MAX_TOLD_FAR
        return versions.flatMap { version ->
            val others =
                heard[version]?.values.orEmpty().filter { it.holder.daemon != peer?.daemon && isToldTo(it, peer, isNear) }
            val own = ownHolding(version)
            val selected = covering(others.map { it.toHolding(version, now) }, own, limit - listOfNotNull(own).size)
            (listOfNotNull(own) + selected).map { (version to it.daemon) to it }
        }
    }

    private fun isToldTo(
        held: Heard,
        peer: PeerDaemon?,
        isNear: Boolean,
    ): Boolean {
        val isOfDomain = held.holder.domain == peers.self.domain
        return when {
            peers.self.role == DaemonRole.TARGET -> false
            peer?.role == DaemonRole.TARGET -> isOfDomain && held.holder.role == DaemonRole.ENTRY
            isNear -> held.isDirect && held.holder.role == DaemonRole.TARGET
            else -> isOfDomain
        }
    }

    private fun ownHolding(version: Version): ChunkHolding? {
        val chunks = own[version] ?: return null
        val servedAt = address ?: return null
        return ChunkHolding(version.model, version.number, peers.self.daemon, servedAt, chunks.clone() as BitSet, Duration.ZERO)
    }

    private fun Heard.toHolding(
        version: Version,
        now: Duration,
    ): ChunkHolding {
        val delivered = (chunks.clone() as BitSet).apply { andNot(refuted) }
        return ChunkHolding(version.model, version.number, holder.daemon, address, delivered, now - heardAt)
    }

    /** Returns up to [limit] of [candidates], each the one that adds most chunks to those before it, then the largest ones. */
    private fun covering(
        candidates: List<ChunkHolding>,
        own: ChunkHolding?,
        limit: Int,
    ): List<ChunkHolding> {
        if (candidates.size <= limit) return candidates
        val covered = own?.chunks?.clone() as BitSet? ?: BitSet()
        val remaining = candidates.sortedByDescending { it.chunks.cardinality() }.toMutableList()
        return buildList {
            while (size < limit) {
                val next = remaining.maxBy { candidate -> (candidate.chunks.clone() as BitSet).apply { andNot(covered) }.cardinality() }
                remaining -= next
                covered.or(next.chunks)
                add(next)
            }
        }
    }

    /** Whether somebody may still need to know who holds chunks of [version]. */
    private fun isWanted(
        version: Version,
        now: Duration,
    ): Boolean {
        val declared = storeView.versions.declaration(version.model, version.number)
        if (declared != null && now - declared.acknowledged.latest < ROLLOUT_TIME) return true
        val serving = storeView.serving ?: return true
        val total = serving.weightLayout(version.model)?.chunkCount ?: return false
        val ownLacks = peers.self.role == DaemonRole.TARGET && own[version].let { it != null && it.cardinality() < total }
        val othersLack = heard[version]?.values.orEmpty().any { it.holder.role == DaemonRole.TARGET && it.chunks.cardinality() < total }
        return ownLacks || othersLack
    }

    /** The number of holdings of other daemons that are known. */
    fun size(now: Duration): Int {
        expire(now)
        return heard.values.sumOf { it.size }
    }

    private fun expire(now: Duration) {
        if (startedAt == null) startedAt = now
        heard.values.forEach { holders -> holders.values.removeIf { now - it.heardAt >= EXPIRY } }
        heard.values.removeIf { it.isEmpty() }
        if (now - prunedAt < REFRESH_INTERVAL) return
        prunedAt = now
        told.values.removeIf { holdings -> holdings.values.all { now - it.at >= EXPIRY } }
    }

    private fun <T> MutableMap<Version, T>.retainNewest(model: ModelId) {
        val numbers = keys.filter { it.model == model }.map { it.number }
        val retained = numbers.sortedDescending().take(RETAINED_VERSIONS)
        keys.removeIf { it.model == model && it.number !in retained }
    }

    private companion object {
        /** A holder repeats its report every second, and other domains hear of it from a second daemon. */
        val EXPIRY = 3.seconds
        val REFRESH_INTERVAL = 1.seconds

        /** Within this time target daemons report to entry daemons that have all restarted, and those pass it on. */
        val COLLECTION_TIME = 1.seconds

        /** Longer than a version takes to reach all back ends. */
        val ROLLOUT_TIME = 60.seconds
        const val RETAINED_VERSIONS = 2
        const val MAX_VERSIONS = 8
        const val MAX_VERSIONS_TOLD = 2
        const val MAX_TOLD = 8
        const val MAX_TOLD_FAR = 4
        const val MAX_HOLDERS = 64

        /** A holding then takes 512 bytes of a message. */
        const val MAX_CHUNKS = 4_096
    }
}

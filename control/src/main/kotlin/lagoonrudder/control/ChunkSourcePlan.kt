/**
 * Plans from which source each chunk of a version is fetched.
 *
 * Chunks are striped at each level. Each chunk has one primary holder in each failure domain, one primary failure domain in
 * each region, and one primary region among those without the origin. The primary fetches the chunk from the level above,
 * and the others fetch it from the primary. So the origin serves about one copy, each link between regions carries each
 * chunk at most once, and the upload traffic is spread over all holders. At each level the candidates and the chunks are
 * sorted by a hash of that level, and the primaries are assigned round-robin, so that no holder is primary for more than its
 * share. The next candidate in the order replaces a primary that fails. Every holder computes the same plan on its own.
 */
package lagoonrudder.control

import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DomainId
import lagoonrudder.model.RegionId
import lagoonrudder.model.VersionId
import lagoonrudder.model.rendezvousOrder
import lagoonrudder.model.rendezvousScore

/** A target daemon that fetches or holds a version. */
data class WeightHolder(
    val daemon: DaemonId,
    val domain: DomainId,
    val region: RegionId,
)

sealed class ChunkSource {
    data object Origin : ChunkSource()

    data class Peer(
        val holder: WeightHolder,
    ) : ChunkSource()
}

/** How the source of a chunk is selected. */
sealed class SourcePolicy {
    /** Every holder fetches every chunk from the origin; a baseline for comparison. */
    data object OriginOnly : SourcePolicy()

    /**
     * In each region one holder fetches a full copy from the origin and the others fetch from that holder; a baseline for
     * comparison.
     */
    data object RegionLead : SourcePolicy()

    /** Each chunk has its own primary holder at each level. */
    data object Striped : SourcePolicy()
}

class ChunkSourcePlan(
    private val policy: SourcePolicy,
    private val version: VersionId,
    private val self: WeightHolder,
    holders: Collection<WeightHolder>,
    private val originRegion: RegionId?,
    private val chunks: Int,
) {
    private val orderByLevel = mutableMapOf<String, List<*>>()
    private val positionsByLevel = mutableMapOf<String, IntArray>()
    private val allHolders = (holders + self).distinctBy { it.daemon }
    private val byDomain: Map<DomainId, List<WeightHolder>> = allHolders.groupBy { it.domain }
    private val domainsOf: Map<RegionId, List<DomainId>> =
        allHolders.groupBy { it.region }.mapValues { (_, members) -> members.map { it.domain }.distinct() }

    /** The number of holders in this holder's region, which share the links of the region. */
    val holdersInRegion: Int = allHolders.count { it.region == self.region }

    private val sourcesByChunk = mutableMapOf<ChunkIndex, List<ChunkSource>>()

    /** Returns the sources of [chunk] in the order in which to try them; the origin is always the last. */
    fun sources(chunk: ChunkIndex): List<ChunkSource> = sourcesByChunk.getOrPut(chunk) { sourcesOf(chunk) }

    private fun sourcesOf(chunk: ChunkIndex): List<ChunkSource> =
        when (policy) {
            SourcePolicy.OriginOnly -> listOf(ChunkSource.Origin)
            SourcePolicy.RegionLead -> regionLeadSources()
            SourcePolicy.Striped -> stripedSources(chunk)
        }

    /** Whether this holder is the primary for [chunk] in its failure domain, and keeps it for holders that join later. */
    fun isPrimarySource(chunk: ChunkIndex): Boolean =
        primaryChunks.getOrElse(chunk.number) { domainOrder(chunk, self.domain).first() == self }

    private val primaryChunks: List<Boolean> by lazy { (0 until chunks).map { domainOrder(ChunkIndex(it), self.domain).first() == self } }

    private fun regionLeadSources(): List<ChunkSource> {
        val leadHolder = rendezvousOrder(version.text, allHolders.filter { it.region == self.region }) { it.daemon.text }.first()
        return if (leadHolder == self) listOf(ChunkSource.Origin) else listOf(ChunkSource.Peer(leadHolder), ChunkSource.Origin)
    }

    private fun stripedSources(chunk: ChunkIndex): List<ChunkSource> {
        val preceding = domainOrder(chunk, self.domain).takeWhile { it != self }.take(MAX_FALLBACKS)
        val upstream = sourcesOutsideDomain(chunk)
        return (preceding + upstream).distinct().filter { it != self }.map { ChunkSource.Peer(it) } + ChunkSource.Origin
    }

    private fun sourcesOutsideDomain(chunk: ChunkIndex): List<WeightHolder> {
        val domains = domainsInOrder(chunk, self.region)
        val preceding = domains.takeWhile { it != self.domain }.take(MAX_FALLBACKS)
        return preceding.map { domainOrder(chunk, it).first() } + sourcesOutsideRegion(chunk)
    }

    private fun sourcesOutsideRegion(chunk: ChunkIndex): List<WeightHolder> {
        val regions = regionsInOrder(chunk)
        val preceding = regions.takeWhile { it != self.region }
        val preferred = preceding.drop(1).take(1) + preceding.take(1)
        return preferred.map { primaryOf(chunk, it) }
    }

    /** Returns the region that fetches from the origin, then the other regions, starting with the primary for [chunk]. */
    private fun regionsInOrder(chunk: ChunkIndex): List<RegionId> {
        val firstRegion = originRegion?.takeIf { it in domainsOf } ?: firstRegionByHash
        val others = domainsOf.keys - firstRegion
        return if (others.isEmpty()) listOf(firstRegion) else listOf(firstRegion) + rotatedOrder("region", chunk, others) { it.text }
    }

    /** Returns the number of chunks for which the first source of this holder is in another region, by region. */
    fun crossRegionFetches(): Map<RegionId, Int> =
        (0 until chunks)
            .mapNotNull { (sources(ChunkIndex(it)).first() as? ChunkSource.Peer)?.holder?.region }
            .filter { it != self.region }
            .groupingBy { it }
            .eachCount()

    /** The number of chunks that all holders of this holder's region together fetch from each other region. */
    val chunksPerLink: Double get() = chunks.toDouble() / (domainsOf.size - 1).coerceAtLeast(1)

    private val firstRegionByHash: RegionId by lazy { rendezvousOrder("${version.text} home", domainsOf.keys) { it.text }.first() }

    private fun primaryOf(
        chunk: ChunkIndex,
        region: RegionId,
    ): WeightHolder = domainOrder(chunk, domainsInOrder(chunk, region).first()).first()

    private fun domainsInOrder(
        chunk: ChunkIndex,
        region: RegionId,
    ): List<DomainId> = rotatedOrder("domain ${region.text}", chunk, domainsOf.getValue(region)) { it.text }

    private fun domainOrder(
        chunk: ChunkIndex,
        domain: DomainId,
    ): List<WeightHolder> = rotatedOrder("holder ${domain.text}", chunk, byDomain.getValue(domain)) { it.daemon.text }

    /** Returns [candidates] in their order for [chunk]: the hash order of the level, rotated by the chunk's position. */
    private fun <T> rotatedOrder(
        level: String,
        chunk: ChunkIndex,
        candidates: Collection<T>,
        name: (T) -> String,
    ): List<T> {
        @Suppress("UNCHECKED_CAST")
        val order = orderByLevel.getOrPut(level) { rendezvousOrder("${version.text} $level", candidates, name) } as List<T>
        val rotation = positionOf(level, chunk).mod(order.size)
        return order.drop(rotation) + order.take(rotation)
    }

    /** Returns the position of [chunk] among all chunks in the hash order of [level]. */
    private fun positionOf(
        level: String,
        chunk: ChunkIndex,
    ): Int {
        val positions =
            positionsByLevel.getOrPut(level) {
                val order = (0 until chunks).sortedBy { rendezvousScore("${version.text} $level", it.toString()) }
                IntArray(chunks).also { order.forEachIndexed { position, number -> it[number] = position } }
            }
        return if (chunk.number in positions.indices) positions[chunk.number] else 0
    }

    private companion object {
        const val MAX_FALLBACKS = 3
    }
}

/**
 * Decides from whom each chunk of a version is drawn.
 *
 * Chunks are striped at each level: in each failure domain one holder leads a chunk, in each region one failure domain,
 * and among the regions without the origin one region. The lead draws the chunk from the level above; everyone else draws
 * it from the lead. So the origin gives about one copy, each link between regions carries each chunk at most once, and
 * the work of passing chunks on is spread over all holders. At each level the candidates and the chunks are put in a hash
 * order of their own and the leads are dealt out in turn, so that nobody leads more than its share; the next in order
 * stands in for a lead that fails. Every holder works the order out for itself.
 */
package lagoonrudder.control

import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DomainId
import lagoonrudder.model.RegionId
import lagoonrudder.model.VersionId
import lagoonrudder.model.rendezvousOrder
import lagoonrudder.model.rendezvousScore

/** A target daemon that wants or holds a version. */
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

/** How sources are chosen. */
sealed class SourcePolicy {
    /** Everyone draws everything from the origin: a baseline. */
    data object OriginOnly : SourcePolicy()

    /** In each region one holder draws a whole copy from the origin and the others draw from it: a baseline. */
    data object RegionLead : SourcePolicy()

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
    private val orders = mutableMapOf<String, List<*>>()
    private val chunkPlaces = mutableMapOf<String, IntArray>()
    private val all = (holders + self).distinctBy { it.daemon }
    private val byDomain: Map<DomainId, List<WeightHolder>> = all.groupBy { it.domain }
    private val domainsOf: Map<RegionId, List<DomainId>> =
        all.groupBy { it.region }.mapValues { (_, members) -> members.map { it.domain }.distinct() }

    /** The number of holders in this holder's region, among whom the region's links are shared. */
    val holdersInRegion: Int = all.count { it.region == self.region }

    private val known = mutableMapOf<ChunkIndex, List<ChunkSource>>()

    /** The sources of [chunk] in the order in which they should be tried; the origin is always the last. */
    fun sources(chunk: ChunkIndex): List<ChunkSource> = known.getOrPut(chunk) { sourcesOf(chunk) }

    private fun sourcesOf(chunk: ChunkIndex): List<ChunkSource> =
        when (policy) {
            SourcePolicy.OriginOnly -> listOf(ChunkSource.Origin)
            SourcePolicy.RegionLead -> regionLeadSources()
            SourcePolicy.Striped -> stripedSources(chunk)
        }

    /** Whether this holder is the first in its failure domain for [chunk], and so keeps it for latecomers. */
    fun isPrimarySource(chunk: ChunkIndex): Boolean = led.getOrElse(chunk.number) { domainOrder(chunk, self.domain).first() == self }

    private val led: List<Boolean> by lazy { (0 until chunks).map { domainOrder(ChunkIndex(it), self.domain).first() == self } }

    private fun regionLeadSources(): List<ChunkSource> {
        val lead = rendezvousOrder(version.text, all.filter { it.region == self.region }) { it.daemon.text }.first()
        return if (lead == self) listOf(ChunkSource.Origin) else listOf(ChunkSource.Peer(lead), ChunkSource.Origin)
    }

    private fun stripedSources(chunk: ChunkIndex): List<ChunkSource> {
        val before = domainOrder(chunk, self.domain).takeWhile { it != self }.take(STAND_INS)
        val above = aboveDomain(chunk)
        return (before + above).distinct().filter { it != self }.map { ChunkSource.Peer(it) } + ChunkSource.Origin
    }

    private fun aboveDomain(chunk: ChunkIndex): List<WeightHolder> {
        val domains = domainsInOrder(chunk, self.region)
        val before = domains.takeWhile { it != self.domain }.take(STAND_INS)
        return before.map { domainOrder(chunk, it).first() } + aboveRegion(chunk)
    }

    private fun aboveRegion(chunk: ChunkIndex): List<WeightHolder> {
        val regions = regionsInOrder(chunk)
        val before = regions.takeWhile { it != self.region }
        val preferred = before.drop(1).take(1) + before.take(1)
        return preferred.map { regionLead(chunk, it) }
    }

    /** The region that draws from the origin first, then the others from the one that leads [chunk] on. */
    private fun regionsInOrder(chunk: ChunkIndex): List<RegionId> {
        val home = originRegion?.takeIf { it in domainsOf } ?: homeByHash
        val others = domainsOf.keys - home
        return if (others.isEmpty()) listOf(home) else listOf(home) + dealt("region", chunk, others) { it.text }
    }

    /** How many chunks this holder draws first from each other region. */
    fun crossRegionFetches(): Map<RegionId, Int> =
        (0 until chunks)
            .mapNotNull { (sources(ChunkIndex(it)).first() as? ChunkSource.Peer)?.holder?.region }
            .filter { it != self.region }
            .groupingBy { it }
            .eachCount()

    /** How many chunks this holder's region draws from each other region, all its holders together. */
    val chunksPerLink: Double get() = chunks.toDouble() / (domainsOf.size - 1).coerceAtLeast(1)

    private val homeByHash: RegionId by lazy { rendezvousOrder("${version.text} home", domainsOf.keys) { it.text }.first() }

    private fun regionLead(
        chunk: ChunkIndex,
        region: RegionId,
    ): WeightHolder = domainOrder(chunk, domainsInOrder(chunk, region).first()).first()

    private fun domainsInOrder(
        chunk: ChunkIndex,
        region: RegionId,
    ): List<DomainId> = dealt("domain ${region.text}", chunk, domainsOf.getValue(region)) { it.text }

    private fun domainOrder(
        chunk: ChunkIndex,
        domain: DomainId,
    ): List<WeightHolder> = dealt("holder ${domain.text}", chunk, byDomain.getValue(domain)) { it.daemon.text }

    /** [candidates] in the order in which they stand for [chunk]: the hash order of the level, turned by the chunk's place. */
    private fun <T> dealt(
        level: String,
        chunk: ChunkIndex,
        candidates: Collection<T>,
        name: (T) -> String,
    ): List<T> {
        @Suppress("UNCHECKED_CAST")
        val order = orders.getOrPut(level) { rendezvousOrder("${version.text} $level", candidates, name) } as List<T>
        val turn = placeOf(level, chunk).mod(order.size)
        return order.drop(turn) + order.take(turn)
    }

    /** The place of [chunk] among all chunks in the hash order of a level. */
    private fun placeOf(
        level: String,
        chunk: ChunkIndex,
    ): Int {
        val places =
            chunkPlaces.getOrPut(level) {
                val order = (0 until chunks).sortedBy { rendezvousScore("${version.text} $level", it.toString()) }
                IntArray(chunks).also { order.forEachIndexed { place, number -> it[number] = place } }
            }
        return if (chunk.number in places.indices) places[chunk.number] else 0
    }

    private companion object {
        const val STAND_INS = 3
    }
}

/**
 * Decides from whom each chunk of a version is drawn.
 *
 * Chunks are striped by rendezvous hashing at each level: in each failure domain one holder leads a chunk, in each region
 * one failure domain, and among the regions without the origin one region. The lead draws the chunk from the level above;
 * everyone else draws it from the lead. So the origin gives about one copy, each link between regions carries each chunk
 * at most once, and the work of passing chunks on is spread over all holders. The next in hash order stands in for a lead
 * that fails. Every holder works the order out for itself.
 */
package lagoonrudder.control

import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DomainId
import lagoonrudder.model.RegionId
import lagoonrudder.model.VersionId
import lagoonrudder.model.rendezvousOrder

/** A target daemon that wants or holds a version. */
data class Holder(
    val daemon: DaemonId,
    val domain: DomainId,
    val region: RegionId,
)

sealed class ChunkSource {
    data object Origin : ChunkSource()

    data class Peer(
        val holder: Holder,
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

class WeightPlan(
    private val policy: SourcePolicy,
    private val version: VersionId,
    private val self: Holder,
    holders: Collection<Holder>,
    private val originRegion: RegionId?,
) {
    private val all = (holders + self).distinctBy { it.daemon }
    private val byDomain: Map<DomainId, List<Holder>> = all.groupBy { it.domain }
    private val domainsOf: Map<RegionId, List<DomainId>> =
        all.groupBy { it.region }.mapValues { (_, members) -> members.map { it.domain }.distinct() }

    /** The number of holders in this holder's region, among whom the region's links are shared. */
    val holdersInRegion: Int = all.count { it.region == self.region }

    /** The sources of [chunk] in the order in which they should be tried; the origin is always the last. */
    fun sources(chunk: ChunkIndex): List<ChunkSource> =
        when (policy) {
            SourcePolicy.OriginOnly -> listOf(ChunkSource.Origin)
            SourcePolicy.RegionLead -> regionLeadSources()
            SourcePolicy.Striped -> stripedSources(chunk)
        }

    /** Whether this holder is the first in its failure domain for [chunk], and so keeps it for latecomers. */
    fun leads(chunk: ChunkIndex): Boolean = domainOrder(chunk, self.domain).first() == self

    private fun regionLeadSources(): List<ChunkSource> {
        val lead = rendezvousOrder(version.text, all.filter { it.region == self.region }) { it.daemon.text }.first()
        return if (lead == self) listOf(ChunkSource.Origin) else listOf(ChunkSource.Peer(lead), ChunkSource.Origin)
    }

    private fun stripedSources(chunk: ChunkIndex): List<ChunkSource> {
        val before = domainOrder(chunk, self.domain).takeWhile { it != self }.take(STAND_INS)
        val above = aboveDomain(chunk)
        return (before + above).distinct().filter { it != self }.map { ChunkSource.Peer(it) } + ChunkSource.Origin
    }

    private fun aboveDomain(chunk: ChunkIndex): List<Holder> {
        val domains = domainsInOrder(chunk, self.region)
        val before = domains.takeWhile { it != self.domain }.take(STAND_INS)
        return before.map { domainOrder(chunk, it).first() } + aboveRegion(chunk)
    }

    private fun aboveRegion(chunk: ChunkIndex): List<Holder> {
        val regions = regionsInOrder(chunk)
        val before = regions.takeWhile { it != self.region }
        val preferred = before.drop(1).take(1) + before.take(1)
        return preferred.map { regionLead(chunk, it) }
    }

    /** The region that draws from the origin first, then the others in the hash order of [chunk]. */
    private fun regionsInOrder(chunk: ChunkIndex): List<RegionId> {
        val order = rendezvousOrder(subject(chunk), domainsOf.keys) { it.text }
        val home = originRegion?.takeIf { it in domainsOf } ?: order.first()
        return listOf(home) + (order - home)
    }

    private fun regionLead(
        chunk: ChunkIndex,
        region: RegionId,
    ): Holder = domainOrder(chunk, domainsInOrder(chunk, region).first()).first()

    private fun domainsInOrder(
        chunk: ChunkIndex,
        region: RegionId,
    ): List<DomainId> = rendezvousOrder(subject(chunk), domainsOf.getValue(region)) { it.text }

    private fun domainOrder(
        chunk: ChunkIndex,
        domain: DomainId,
    ): List<Holder> = rendezvousOrder(subject(chunk), byDomain.getValue(domain)) { it.daemon.text }

    private fun subject(chunk: ChunkIndex): String = "${version.text}/${chunk.number}"

    private companion object {
        const val STAND_INS = 3
    }
}

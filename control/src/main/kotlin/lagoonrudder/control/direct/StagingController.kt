/**
 * Decides at a target daemon which weights its back end is to load, from where each piece comes, and when to switch.
 *
 * Entry daemons have wide links and draw each piece from the origin about once for all; a target daemon asks the entry
 * daemon of its region that leads a piece, then others, and the origin last.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.Address
import lagoonrudder.model.Digest
import lagoonrudder.model.DomainId
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.ModelId
import lagoonrudder.model.RegionId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServingService
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.rendezvousOrder
import kotlin.time.Duration

/** What a back end reports. [born] is its start; [orders] counts the orders that it accepted since then. */
data class BackEndReport(
    val born: Long,
    val held: HeldWeights?,
    val loading: Boolean,
    val orders: Long,
    val running: Int,
    val waiting: Int,
)

/** The digest of each piece of one version. */
data class WeightManifest(
    val model: ModelId,
    val number: WeightNumber,
    val digests: List<Digest>,
)

sealed class OrderResponse {
    data object Accepted : OrderResponse()

    /** The order was carried out before. */
    data object AlreadyApplied : OrderResponse()

    data class Declined(
        val status: Int,
        val detail: String,
    ) : OrderResponse()
}

/** The weights to load; a [number] of null is the newest that the origin names. */
data class WeightsToLoad(
    val model: ModelId,
    val number: WeightNumber?,
)

/** Where a piece or a manifest can be drawn. */
sealed class WeightSource {
    data class Entry(
        val address: Address,
    ) : WeightSource()

    data class Origin(
        val address: Address,
    ) : WeightSource()
}

class StagingController(
    private val peers: PeerController,
    private val storeView: StoreViewController,
    private val turns: SwitchSchedule,
    private val regions: Map<DomainId, RegionId>,
) {
    /** What the back end of [service] with [report] lacks; null when it has what it should. */
    fun weightsToLoad(
        service: ServiceId,
        report: BackEndReport,
    ): WeightsToLoad? {
        val layout = storeView.serving?.service(service)?.weights ?: return null
        val model = layout.models.firstOrNull() ?: return null
        val declared = storeView.declared(model)
        val held = report.held?.takeIf { it.model == model && it.layers >= layout.layers }
        val satisfied = held != null && (declared == null || held.number >= declared.number)
        return if (satisfied) null else WeightsToLoad(model, declared?.number)
    }

    /**
     * Whether to go on staging [number], of which [staged] pieces out of [all] are there, although a newer version was
     * declared: one that is half done is finished, in case the newer one can't be drawn before the older one is due.
     */
    fun shouldFinishStaging(
        model: ModelId,
        number: WeightNumber,
        staged: Int,
        all: Int,
    ): Boolean {
        val newest = storeView.declared(model)?.number ?: return true
        return number >= newest || staged * 2 >= all
    }

    /** Where a target daemon draws piece [index], best first. */
    fun sources(
        model: ModelId,
        number: WeightNumber?,
        index: Int,
        now: Duration,
    ): List<WeightSource> {
        val (near, far) = peers.liveEntries(now).filter { it.address != null }.partition { it.region == peers.self.region }
        val entries = ordered(near, model, number, index).take(NEAR_SOURCES) + ordered(far, model, number, index).take(FAR_SOURCES)
        return entries.mapNotNull { it.address }.map { WeightSource.Entry(it) } + listOfNotNull(origin()).map { WeightSource.Origin(it) }
    }

    /** Where an entry daemon draws piece [index]: the entry daemon that leads it in the origin's region, else the origin. */
    fun upstreamSources(
        model: ModelId,
        number: WeightNumber?,
        index: Int,
        now: Duration,
    ): List<WeightSource> {
        val entries = peers.liveEntries(now)
        val nearOrigin = entries.filter { it.region == originRegion() }.ifEmpty { entries }
        val lead = ordered(nearOrigin, model, number, index).firstOrNull()
        val fromLead = lead?.takeIf { it.daemon != peers.self.daemon }?.address?.let { WeightSource.Entry(it) }
        return listOfNotNull(fromLead, origin()?.let { WeightSource.Origin(it) })
    }

    /** Whether this entry daemon is the first that the target daemons of its region ask for piece [index]. */
    fun isPrimarySource(
        model: ModelId,
        number: WeightNumber,
        index: Int,
        now: Duration,
    ): Boolean {
        val near = peers.liveEntries(now).filter { it.region == peers.self.region }
        return ordered(near, model, number, index).firstOrNull()?.daemon == peers.self.daemon
    }

    /** When the back end of [service] at [address] is to switch to [number]; null when it serves nothing and needn't wait. */
    fun scheduledSwitch(
        service: ServiceId,
        address: Address,
        report: BackEndReport,
        number: WeightNumber,
    ): ScheduledSwitch? =
        storeView.backEnds
            .firstOrNull { it.service == service && it.address == address }
            ?.let { turns.scheduledSwitch(it, report.held, number) }

    private fun originService(): ServingService? = storeView.serving?.services?.firstOrNull { it.origin != null }

    private fun origin(): Address? = originService()?.origin

    private fun originRegion(): RegionId? = originService()?.originDomain?.let { regions[it] }

    private fun ordered(
        candidates: List<PeerDaemon>,
        model: ModelId,
        number: WeightNumber?,
        index: Int,
    ) = rendezvousOrder("${model.text} ${number?.number} $index", candidates) { it.daemon.text }

    private companion object {
        const val NEAR_SOURCES = 2
        const val FAR_SOURCES = 1
    }
}

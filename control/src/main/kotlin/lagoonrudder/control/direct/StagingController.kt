/**
 * Decides which weights a back end loads, from which source each chunk is fetched, and when the back end switches.
 *
 * Each chunk leaves the origin about once: the entry daemon that is its primary source in the origin's region fetches it there, unless
 * some daemon holds it. A target daemon asks entry daemons of its region that hold the chunk, then the one that is its primary source in
 * the region, then other entry daemons, and the origin last.
 */
package lagoonrudder.control.direct

import lagoonrudder.control.direct.weights.ChunkHoldings
import lagoonrudder.control.direct.weights.VersionChoice
import lagoonrudder.control.direct.weights.VersionSupply
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.Digest
import lagoonrudder.model.DomainId
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.ModelId
import lagoonrudder.model.RegionId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServingService
import lagoonrudder.model.WeightLayout
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.digestOf
import lagoonrudder.model.rendezvousOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The state that a back end reports. [born] is its start time; [orders] counts the orders that it has accepted since then. */
data class BackEndReport(
    val born: Long,
    val held: HeldWeights?,
    val loading: Boolean,
    val orders: Long,
    val running: Int,
    val waiting: Int,
)

/** The digests of all chunks of one version. */
data class WeightManifest(
    val model: ModelId,
    val number: WeightNumber,
    val digests: List<Digest>,
) {
    /** Identifies this copy among all copies of the manifest, of which some may be corrupted. */
    val fingerprint: Digest get() = digestOf(digests.joinToString("") { it.hexadecimal }.encodeToByteArray())
}

sealed class OrderResponse {
    data object Accepted : OrderResponse()

    /** The order has already been carried out. */
    data object AlreadyApplied : OrderResponse()

    data class Declined(
        val status: Int,
        val detail: String,
    ) : OrderResponse()
}

/** The weights to load; a null [number] stands for the newest version at the origin. */
data class WeightsToLoad(
    val model: ModelId,
    val number: WeightNumber?,
)

/** A source from which a chunk or a manifest can be fetched. */
sealed class WeightSource {
    data class Entry(
        val address: Address,
    ) : WeightSource()

    /** A daemon that reported to hold the chunk, or part of the version of the manifest. */
    data class Holder(
        val daemon: DaemonId,
        val address: Address,
        val kind: HolderKind,
    ) : WeightSource()

    data class Origin(
        val address: Address,
    ) : WeightSource()
}

/** Where a holder of a chunk is, in the order in which an entry daemon prefers holders. */
enum class HolderKind(
    val isTarget: Boolean,
) {
    ENTRY_OF_DOMAIN(isTarget = false),
    ENTRY_ELSEWHERE(isTarget = false),
    TARGET_OF_DOMAIN(isTarget = true),
    TARGET_ELSEWHERE(isTarget = true),
}

class StagingController(
    private val peers: PeerController,
    private val storeView: StoreViewController,
    private val schedule: SwitchSchedule,
    private val regions: Map<DomainId, RegionId>,
    private val holdings: ChunkHoldings = ChunkHoldings(peers, storeView),
) {
    /** Returns the weights that the back end of [service] with [report] must load; null if it holds the required ones. */
    fun weightsToLoad(
        service: ServiceId,
        report: BackEndReport,
    ): WeightsToLoad? {
        val layout = storeView.serving?.service(service)?.weights ?: return null
        val model = layout.models.firstOrNull() ?: return null
        val declared = storeView.versions.newest[model]
        val held = report.held?.takeIf { it.model == model && it.layers >= layout.layers }
        val satisfied = held != null && (declared == null || held.number >= declared)
        return if (satisfied) null else WeightsToLoad(model, declared)
    }

    /** Returns why [manifest] can't be that of version [number], or of the newest one if it is null; null if it can. */
    fun mismatch(
        manifest: WeightManifest,
        model: ModelId,
        number: WeightNumber?,
    ): String? {
        val chunkCount = layout(model)?.chunkCount
        return when {
            manifest.model != model || (number != null && manifest.number != number) ->
                "manifest of ${manifest.model.text} ${manifest.number.number}, expected ${model.text} ${number?.number}"
            chunkCount != null && manifest.digests.size != chunkCount -> "${manifest.digests.size} digests, expected $chunkCount"
            else -> null
        }
    }

    /** Returns the bytes of one copy of [model], 1 while its layout is not known. */
    fun copySize(model: ModelId): Long = layout(model)?.let { it.chunkCount.toLong() * it.chunkBytes }?.coerceAtLeast(1) ?: 1

    /** Returns the bytes of one chunk of [model], 1 while its layout is not known. */
    fun chunkSize(model: ModelId): Long = layout(model)?.chunkBytes?.toLong()?.coerceAtLeast(1) ?: 1

    /** Returns about how many bytes of one copy of [model] an entry daemon fetches as the primary source of its region. */
    fun ownShare(
        model: ModelId,
        now: Duration,
    ): Long = (copySize(model) / peers.liveEntries(now).count { it.region == peers.self.region }.coerceAtLeast(1)).coerceAtLeast(1)

    /** Returns which of the declared versions of [model] a daemon with [supply] fetches. */
    fun chooseVersion(
        model: ModelId,
        supply: VersionSupply,
        now: Duration,
    ): VersionChoice = VersionChoice.of(model, storeView.versions, supply, now)

    /**
     * Returns the sources from which a target daemon fetches chunk [index], in order of preference, after [attempts] without success: entry
     * daemons of its region that hold it, then those that fetch it, the chunk's primary source first. The origin is one only while no entry
     * daemon is alive, since its link would be shared by all back ends. There is none while a process that has just started has not
     * discovered an entry daemon.
     */
    fun sources(
        model: ModelId,
        number: WeightNumber?,
        index: Int,
        now: Duration,
        attempts: Int = 0,
    ): List<WeightSource> {
        val (nearby, remote) = peers.liveEntries(now).filter { it.address != null }.partition { it.region == peers.self.region }
        val entries = ranked(nearby, model, number, index).take(LOCAL_SOURCES) + ranked(remote, model, number, index).take(REMOTE_SOURCES)
        if (entries.isEmpty()) return listOfNotNull(origin().takeUnless { peers.isDiscovering(now) }).map { WeightSource.Origin(it) }
        val holders = holders(model, number, index, now) { it.role == DaemonRole.ENTRY && it.region == peers.self.region }
        val others = afterAttempts(entries.mapNotNull { it.address }.map { WeightSource.Entry(it) }, attempts)
        return if (attempts < ATTEMPTS_AT_A_SOURCE) holders + others else others + holders
    }

    /**
     * Returns the sources of chunk [index] for an entry daemon: the daemons that hold it, then its primary source in the origin's region,
     * which alone asks the origin. Another one asks the origin after it has [waited] long for the primary source. There is no further
     * source while a process that has just started has not discovered another one, or collects holdings.
     */
    fun upstreamSources(
        model: ModelId,
        number: WeightNumber?,
        index: Int,
        now: Duration,
        waited: Duration = Duration.ZERO,
    ): List<WeightSource> {
        val holders = holders(model, number, index, now) { true }
        if (peers.isDiscovering(now) || holdings.isCollecting(model, now)) return holders
        val entries = peers.liveEntries(now)
        val inOriginRegion = entries.filter { it.region == originRegion() }.ifEmpty { entries }
        val primary = ranked(inOriginRegion, model, number, index).firstOrNull()
        val fromPrimary = primary?.takeIf { it.daemon != peers.self.daemon }?.address?.let { WeightSource.Entry(it) }
        val fromOrigin = origin()?.let { WeightSource.Origin(it) }
        val hasWaited = waited >= PRIMARY_SOURCE_TIMEOUT
        // A manifest is small, so a second copy of it costs less than the wait.
        val isManifest = index < 0
        return when {
            hasWaited -> listOfNotNull(fromOrigin, fromPrimary) + holders
            fromPrimary == null -> holders + listOfNotNull(fromOrigin)
            isManifest -> holders + listOfNotNull(fromPrimary, fromOrigin)
            else -> holders + fromPrimary
        }
    }

    /** Returns the holders of chunk [index] that meet [condition], a few of each kind, and different ones for each chunk. */
    private fun holders(
        model: ModelId,
        number: WeightNumber?,
        index: Int,
        now: Duration,
        condition: (PeerDaemon) -> Boolean,
    ): List<WeightSource.Holder> =
        ranked(holdings.holders(model, number, index, now).filter(condition), model, number, index)
            .mapNotNull { holder -> holder.address?.let { WeightSource.Holder(holder.daemon, it, kindOf(holder)) } }
            .groupBy { it.kind }
            .toSortedMap()
            .values
            .flatMap { it.take(HOLDERS_OF_A_KIND) }

    private fun kindOf(holder: PeerDaemon): HolderKind {
        val isOfDomain = holder.domain == peers.self.domain
        return when (holder.role) {
            DaemonRole.ENTRY -> if (isOfDomain) HolderKind.ENTRY_OF_DOMAIN else HolderKind.ENTRY_ELSEWHERE
            DaemonRole.TARGET -> if (isOfDomain) HolderKind.TARGET_OF_DOMAIN else HolderKind.TARGET_ELSEWHERE
        }
    }

    /** Moves on to the next source when one has answered several times that it has not got the data yet, for example while cut off. */
    private fun afterAttempts(
        sources: List<WeightSource>,
        attempts: Int,
    ): List<WeightSource> {
        if (sources.isEmpty()) return sources
        val first = attempts / ATTEMPTS_AT_A_SOURCE % sources.size
        return sources.drop(first) + sources.take(first)
    }

    /** Returns whether this entry daemon is the first that the target daemons of its region ask for chunk [index]. */
    fun isPrimarySource(
        model: ModelId,
        number: WeightNumber,
        index: Int,
        now: Duration,
    ): Boolean {
        val nearby = peers.liveEntries(now).filter { it.region == peers.self.region }
        return ranked(nearby, model, number, index).firstOrNull()?.daemon == peers.self.daemon
    }

    /** Returns when the back end of [service] at [address] switches to [number]; null if it serves nothing and need not wait. */
    fun scheduledSwitch(
        service: ServiceId,
        address: Address,
        report: BackEndReport,
        number: WeightNumber,
    ): ScheduledSwitch? =
        storeView.backEnds
            .firstOrNull { it.service == service && it.address == address }
            ?.let { schedule.scheduledSwitch(it, report.held, number) }

    private fun layout(model: ModelId): WeightLayout? = storeView.serving?.weightLayout(model)

    private fun originService(): ServingService? = storeView.serving?.services?.firstOrNull { it.origin != null }

    private fun origin(): Address? = originService()?.origin

    private fun originRegion(): RegionId? = originService()?.originDomain?.let { regions[it] }

    private fun ranked(
        candidates: List<PeerDaemon>,
        model: ModelId,
        number: WeightNumber?,
        index: Int,
    ) = rendezvousOrder("${model.text} ${number?.number} $index", candidates) { it.daemon.text }

    private companion object {
        /** A copy of the weights takes a few seconds from the origin, and each attempt is held for most of a second. */
        const val ATTEMPTS_AT_A_SOURCE = 5

        /** Longer than the usual outage of the origin, after which all that wait for the primary source would ask the origin at once. */
        val PRIMARY_SOURCE_TIMEOUT = 10.seconds
        const val HOLDERS_OF_A_KIND = 2
        const val LOCAL_SOURCES = 2
        const val REMOTE_SOURCES = 1
    }
}

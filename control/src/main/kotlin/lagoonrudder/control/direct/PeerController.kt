/**
 * Tracks which other daemons are alive and sums the requests that entry daemons have in flight.
 *
 * Discovery starts from the seed addresses; daemons then learn about each other through gossip. A daemon counts as alive
 * while its last contact is recent, and is removed long after that. Entry daemons of one failure domain exchange their own
 * requests in flight often; between failure domains one random member at a time gets the sum of the domain. So the gossip of a
 * daemon grows with the members of its domain and the number of domains, not with the number of daemons.
 */
package lagoonrudder.control.direct

import lagoonrudder.control.DumpSection
import lagoonrudder.control.direct.admission.LevelDemand
import lagoonrudder.control.direct.admission.UrgencyLevel
import lagoonrudder.control.direct.admission.sumOfDemand
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.RegionId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import lagoonrudder.model.rendezvousOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A daemon and the address at which its peers reach it; [address] is null when it accepts no connections. */
data class PeerDaemon(
    val daemon: DaemonId,
    val role: DaemonRole,
    val domain: DomainId,
    val region: RegionId,
    val address: Address?,
)

/** A daemon that a peer knows about; [age] is the time since its last contact. */
data class LivePeer(
    val peer: PeerDaemon,
    val age: Duration,
)

/** A daemon of a ranking, and the time since the platform's store last answered it; null if it doesn't read the store. */
data class RankedMember(
    val daemon: DaemonId,
    val storeContactAge: Duration?,
)

/**
 * Requests in flight by back end, at one entry daemon or in all of a failure domain; [daemons] is how many they are the sum of. [demand] is
 * that for the services whose routes differ in rank, by level from the most urgent on.
 */
data class LoadReport(
    val inFlight: Map<TargetId, Int>,
    val daemons: Int,
    val demand: Map<ServiceId, List<LevelDemand>> = emptyMap(),
)

class PeerController(
    val self: PeerDaemon,
    seeds: List<Address>,
) {
    /** [lastContactAt] may come from a third daemon, [lastExchangeAt] and [storeContactAt] come from the peer itself. */
    private class KnownPeer(
        var peer: PeerDaemon,
        var lastContactAt: Duration,
        var lastExchangeAt: Duration? = null,
        var storeContactAt: Duration? = null,
    )

    private sealed class ReportSource {
        data class Daemon(
            val daemon: DaemonId,
        ) : ReportSource()

        data class Domain(
            val domain: DomainId,
        ) : ReportSource()
    }

    private class ReceivedReport(
        val load: LoadReport,
        val receivedAt: Duration,
    )

    private val knownPeers = mutableMapOf<DaemonId, KnownPeer>()

    /** The sum of the unexpired reports of all peers, kept up to date so that a placement costs the same with any number of peers. */
    private val inFlightTotals = mutableMapOf<TargetId, Int>()
    private val reports = mutableMapOf<ReportSource, ReceivedReport>()
    private var reporters = 0
    private var nextExpiry = Duration.INFINITE
    private var startedAt: Duration? = null
    private var hasDiscoveredEntries = false

    /** Rises whenever the set of known daemons changes. */
    var membership = 0L
        private set

    /** The addresses from which discovery starts; a reload of the settings may change them. */
    var seeds: List<Address> = seeds

    /**
     * Records a gossip message or reply from [peer]. [load] is its own load if it is in this failure domain, otherwise that of its
     * domain. [storeContactAge] is the time since the platform's store last answered it; null if that is unknown.
     */
    fun onGossipReceived(
        peer: PeerDaemon,
        load: LoadReport,
        storeContactAge: Duration?,
        now: Duration,
    ) {
        if (peer.daemon == self.daemon) return
        val entry = knownPeers.getOrPut(peer.daemon) { newPeer(peer, now) }
        entry.peer = peer
        entry.lastContactAt = now
        entry.lastExchangeAt = now
        entry.storeContactAt = storeContactAge?.let { now - it }
        if (peer.role != DaemonRole.ENTRY) return
        val isNear = peer.domain == self.domain
        // A peer that doesn't know this daemon yet sends the load of their common domain, of which other members report too.
        if (isNear && load.daemons > 1) return
        replaceReport(if (isNear) ReportSource.Daemon(peer.daemon) else ReportSource.Domain(peer.domain), ReceivedReport(load, now))
    }

    private fun newPeer(
        peer: PeerDaemon,
        lastContactAt: Duration,
    ): KnownPeer {
        membership++
        if (peer.role == DaemonRole.ENTRY) hasDiscoveredEntries = true
        return KnownPeer(peer, lastContactAt)
    }

    /** Returns the load to report to [peer]: [own] and [demand], or the sums of this failure domain to a daemon of another one. */
    fun loadFor(
        peer: PeerDaemon?,
        own: Map<TargetId, Int>,
        now: Duration,
        demand: Map<ServiceId, List<LevelDemand>> = emptyMap(),
    ): LoadReport {
        if (peer?.domain == self.domain) return LoadReport(own, 1, demand)
        expireReports(now)
        val near = reports.filterKeys { it is ReportSource.Daemon }.values.map { it.load }
        val sum = own.toMutableMap()
        for (load in near) for ((target, count) in load.inFlight) sum.merge(target, count, Int::plus)
        val demands = near.map { it.demand } + demand
        val services = demands.flatMap { it.keys }.distinct()
        return LoadReport(sum, 1 + near.size, services.associateWith { service -> sumOfDemand(demands.mapNotNull { it[service] }) })
    }

    /** Returns the demand for [service] that other entry daemons report, by level. */
    fun demandElsewhere(
        service: ServiceId,
        now: Duration,
    ): List<LevelDemand> {
        expireReports(now)
        return sumOfDemand(reports.values.mapNotNull { it.load.demand[service] })
    }

    /** Returns the requests for [service] that wait at other entry daemons of this failure domain and are more urgent than [level]. */
    fun moreUrgentWaitingNearby(
        service: ServiceId,
        level: UrgencyLevel,
        now: Duration,
    ): Int {
        expireReports(now)
        return reports.entries
            .filter { it.key is ReportSource.Daemon }
            .sumOf { (_, report) -> report.load.demand[service]?.sumOf { if (it.level < level) it.waiting else 0 } ?: 0 }
    }

    /** Returns the known daemon at [address]. */
    fun peerAt(address: Address): PeerDaemon? = knownAt(address)?.peer

    private fun knownAt(address: Address): KnownPeer? = knownPeers.values.firstOrNull { it.peer.address == address }

    /**
     * Returns how long to wait before an exchange with the entry daemon at [address], where one of every pair exchanges after
     * [interval] and the other only if it has not been contacted for some time longer.
     */
    fun timeToExchange(
        address: Address,
        interval: Duration,
        now: Duration,
    ): Duration {
        val known = knownAt(address) ?: return Duration.ZERO
        val last = known.lastExchangeAt ?: return Duration.ZERO
        val initiates = self.daemon.text < known.peer.daemon.text
        return last + (if (initiates) interval else interval * RESPONDER_FACTOR) - now
    }

    /**
     * Returns the members of this failure domain that are heard from directly and ranked before this daemon; the rank is that of
     * [rendezvousOrder] for [key].
     */
    fun betterRankedMembers(
        key: String,
        now: Duration,
    ): List<RankedMember> {
        val members =
            knownEntries()
                .filter { it.peer.domain == self.domain && isWithin(it.lastExchangeAt, DIRECT_CONTACT_TIMEOUT, now) }
                .map { known -> RankedMember(known.peer.daemon, known.storeContactAt?.let { now - it }) }
        return rendezvousOrder(key, members + RankedMember(self.daemon, null)) { it.daemon.text }.takeWhile { it.daemon != self.daemon }
    }

    /** Returns whether any peer was heard from directly within [limit]. */
    fun hasHeardWithin(
        limit: Duration,
        now: Duration,
    ): Boolean = knownPeers.values.any { isWithin(it.lastExchangeAt, limit, now) }

    private fun isWithin(
        time: Duration?,
        limit: Duration,
        now: Duration,
    ) = time != null && now - time < limit

    /** Merges the peers that another daemon knows about. */
    fun mergeLivePeers(
        livePeers: List<LivePeer>,
        now: Duration,
    ) {
        for (other in livePeers) {
            if (other.peer.daemon == self.daemon || other.age > REMOVAL_TIMEOUT) continue
            val entry = knownPeers.getOrPut(other.peer.daemon) { newPeer(other.peer, now - other.age) }
            entry.lastContactAt = maxOf(entry.lastContactAt, now - other.age)
        }
    }

    /** Returns the live entry daemons other than this one. */
    fun livePeers(now: Duration): List<LivePeer> = liveKnownEntries(now).map { LivePeer(it.peer, now - it.lastContactAt) }

    /**
     * Returns the addresses with which to exchange all the time: those of the known entry daemons of this failure domain, and the
     * seeds that are not known yet.
     */
    fun nearAddresses(now: Duration): List<Address> {
        removeExpired(now)
        val near = knownEntries().filter { it.peer.domain == self.domain }.mapNotNull { it.peer.address }
        val known = knownEntries().mapNotNullTo(mutableSetOf()) { it.peer.address }
        return (near + seeds.filter { it !in known }).distinct() - listOfNotNull(self.address).toSet()
    }

    /** Returns the known entry daemons of each other failure domain, the live ones if there are any. */
    fun farAddresses(now: Duration): Map<DomainId, List<Address>> =
        knownEntries()
            .filter { it.peer.domain != self.domain }
            .groupBy { it.peer.domain }
            .mapValues { (_, members) -> members.filter { now - it.lastContactAt < LIVENESS_TIMEOUT }.ifEmpty { members } }
            .mapValues { (_, members) -> members.mapNotNull { it.peer.address } }
            .filterValues { it.isNotEmpty() }

    /** Returns the live entry daemons, including this one if it has that role. */
    fun liveEntries(now: Duration): List<PeerDaemon> {
        val others = liveKnownEntries(now).map { it.peer }
        return if (self.role == DaemonRole.ENTRY) others + self else others
    }

    /**
     * Returns the number of entry daemons that may be sending requests, including this one and those that are partitioned. A process that
     * has just started, or whose seeds have not led to any other one yet, assumes that there are more than it has discovered.
     */
    fun entryCount(now: Duration): Int {
        val discovered = 1 + knownEntries().size
        return if (hasJustStarted(now) || isUndiscovered) maxOf(discovered, ASSUMED_ENTRY_DAEMONS) else discovered
    }

    private val isUndiscovered: Boolean get() = !hasDiscoveredEntries && hasOtherSeeds

    private val hasOtherSeeds: Boolean get() = seeds.any { it != self.address }

    /** Returns whether this process has just started and has discovered none of the entry daemons that its seeds may lead to. */
    fun isDiscovering(now: Duration): Boolean = hasJustStarted(now) && knownEntries().isEmpty() && hasOtherSeeds

    /** The first question about the other daemons counts as the start. */
    private fun hasJustStarted(now: Duration): Boolean {
        val first = startedAt ?: now.also { startedAt = it }
        return now - first < DISCOVERY_TIME
    }

    /** Returns the requests that other entry daemons have in flight at [target], ignoring expired reports. */
    fun inFlightElsewhere(
        target: TargetId,
        now: Duration,
    ): Int {
        expireReports(now)
        return inFlightTotals[target] ?: 0
    }

    /** Returns the number of other entry daemons whose requests in flight are reported. */
    fun reporterCount(now: Duration): Int {
        expireReports(now)
        return reporters
    }

    private fun expireReports(now: Duration) {
        if (now < nextExpiry) return
        val expired = reports.filterValues { now - it.receivedAt >= IN_FLIGHT_TTL }.keys
        expired.forEach { replaceReport(it, null) }
        nextExpiry = reports.values.minOfOrNull { it.receivedAt + IN_FLIGHT_TTL } ?: Duration.INFINITE
    }

    private fun replaceReport(
        source: ReportSource,
        report: ReceivedReport?,
    ) {
        val before = if (report == null) reports.remove(source) else reports.put(source, report)
        before?.let { addToTotals(it.load, -1) }
        report?.let { addToTotals(it.load, 1) }
        if (report != null) nextExpiry = minOf(nextExpiry, report.receivedAt + IN_FLIGHT_TTL)
    }

    private fun addToTotals(
        load: LoadReport,
        sign: Int,
    ) {
        if (load.inFlight.isNotEmpty()) reporters += sign * load.daemons
        for ((target, count) in load.inFlight) {
            inFlightTotals.merge(target, sign * count) { sum, change -> (sum + change).takeIf { it != 0 } }
        }
    }

    fun dump(now: Duration): DumpSection =
        dumpSection("peers") {
            entry("self", self)
            for (known in knownPeers.values) entry(known.peer.daemon.text, "${known.peer.address} heard=${now - known.lastContactAt}")
        }

    /** The known entry daemons other than this one, including those that are partitioned. */
    val otherEntries: List<PeerDaemon> get() = knownEntries().map { it.peer }

    private fun knownEntries(): List<KnownPeer> = knownPeers.values.filter { it.peer.role == DaemonRole.ENTRY }

    private fun liveKnownEntries(now: Duration): List<KnownPeer> = knownEntries().filter { now - it.lastContactAt < LIVENESS_TIMEOUT }

    private fun removeExpired(now: Duration) {
        if (knownPeers.values.removeIf { now - it.lastContactAt > REMOVAL_TIMEOUT }) membership++
    }

    private companion object {
        val LIVENESS_TIMEOUT = 2.seconds

        /** A partitioned daemon keeps sending, so it counts towards the shares long after its last contact. */
        val REMOVAL_TIMEOUT = 60.seconds

        /** The time within which every reachable daemon has been discovered. */
        val DISCOVERY_TIME = 3.seconds
        const val ASSUMED_ENTRY_DAEMONS = 10

        /** Gossip within a failure domain comes several times in this time. */
        val DIRECT_CONTACT_TIMEOUT = 500.milliseconds

        /** Longer than an exchange takes, so that both sides of a pair rarely exchange at once. */
        const val RESPONDER_FACTOR = 1.6
        val IN_FLIGHT_TTL = 1_500.milliseconds
    }
}

/**
 * Tracks which other daemons are alive and sums the requests that entry daemons have in flight.
 *
 * Discovery starts from the seed addresses; daemons then learn about each other through gossip. A daemon counts as alive
 * while its last contact is recent, and is removed long after that.
 */
package lagoonrudder.control.direct

import lagoonrudder.control.DumpSection
import lagoonrudder.control.dumpSection
import lagoonrudder.control.entry
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.RegionId
import lagoonrudder.model.TargetId
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

class PeerController(
    val self: PeerDaemon,
    seeds: List<Address>,
) {
    private class KnownPeer(
        var peer: PeerDaemon,
        var lastContactAt: Duration,
        var inFlight: Map<TargetId, Int> = emptyMap(),
        var inFlightAt: Duration = Duration.ZERO,
    )

    private val knownPeers = mutableMapOf<DaemonId, KnownPeer>()

    /** The sum of the unexpired reports of all peers, kept up to date so that a placement costs the same with any number of peers. */
    private val inFlightTotals = mutableMapOf<TargetId, Int>()
    private var reporters = 0
    private var nextExpiry = Duration.INFINITE
    private var startedAt: Duration? = null

    /** The addresses from which discovery starts; a reload of the settings may change them. */
    var seeds: List<Address> = seeds

    /** Records a gossip message or reply from [peer]; [inFlight] is its number of requests in flight at each back end. */
    fun onGossipReceived(
        peer: PeerDaemon,
        inFlight: Map<TargetId, Int>,
        now: Duration,
    ) {
        if (peer.daemon == self.daemon) return
        val entry = knownPeers.getOrPut(peer.daemon) { KnownPeer(peer, now) }
        entry.peer = peer
        entry.lastContactAt = now
        replaceReport(entry, inFlight)
        entry.inFlightAt = now
        nextExpiry = minOf(nextExpiry, now + IN_FLIGHT_TTL)
    }

    /** Merges the peers that another daemon knows about. */
    fun mergeLivePeers(
        livePeers: List<LivePeer>,
        now: Duration,
    ) {
        for (other in livePeers) {
            if (other.peer.daemon == self.daemon || other.age > REMOVAL_TIMEOUT) continue
            val entry = knownPeers.getOrPut(other.peer.daemon) { KnownPeer(other.peer, now - other.age) }
            entry.lastContactAt = maxOf(entry.lastContactAt, now - other.age)
        }
    }

    /** Returns the live entry daemons other than this one. */
    fun livePeers(now: Duration): List<LivePeer> = liveKnownEntries(now).map { LivePeer(it.peer, now - it.lastContactAt) }

    /** Returns the addresses to gossip with: those of all known entry daemons and the seeds. */
    fun gossipAddresses(now: Duration): List<Address> {
        removeExpired(now)
        return (knownEntries().mapNotNull { it.peer.address } + seeds).distinct() - listOfNotNull(self.address).toSet()
    }

    /** Returns the live entry daemons, including this one if it has that role. */
    fun liveEntries(now: Duration): List<PeerDaemon> {
        val others = liveKnownEntries(now).map { it.peer }
        return if (self.role == DaemonRole.ENTRY) others + self else others
    }

    /**
     * Returns the number of entry daemons that may be sending requests, including this one and those that are partitioned. A
     * process that has just started assumes that there are more than it has discovered.
     */
    fun entryCount(now: Duration): Int {
        val first = startedAt ?: now.also { startedAt = it }
        val discovered = 1 + knownEntries().size
        return if (now - first < DISCOVERY_TIME) maxOf(discovered, ASSUMED_ENTRY_DAEMONS) else discovered
    }

    /** Returns the requests that other entry daemons have in flight at [target], ignoring expired reports. */
    fun inFlightElsewhere(
        target: TargetId,
        now: Duration,
    ): Int {
        if (now >= nextExpiry) expireReports(now)
        return inFlightTotals[target] ?: 0
    }

    /** Returns the number of peers with an unexpired report of requests in flight. */
    fun reporterCount(now: Duration): Int {
        if (now >= nextExpiry) expireReports(now)
        return reporters
    }

    private fun expireReports(now: Duration) {
        val (expired, fresh) = knownPeers.values.filter { it.inFlight.isNotEmpty() }.partition { now - it.inFlightAt >= IN_FLIGHT_TTL }
        expired.forEach { replaceReport(it, emptyMap()) }
        nextExpiry = fresh.minOfOrNull { it.inFlightAt + IN_FLIGHT_TTL } ?: Duration.INFINITE
    }

    private fun replaceReport(
        peer: KnownPeer,
        inFlight: Map<TargetId, Int>,
    ) {
        for ((target, count) in peer.inFlight) inFlightTotals.merge(target, -count) { sum, change -> (sum + change).takeIf { it != 0 } }
        for ((target, count) in inFlight) inFlightTotals.merge(target, count) { sum, change -> (sum + change).takeIf { it != 0 } }
        if (peer.inFlight.isEmpty() != inFlight.isEmpty()) reporters += if (inFlight.isEmpty()) -1 else 1
        peer.inFlight = inFlight
    }

    fun dump(now: Duration): DumpSection =
        dumpSection("peers") {
            entry("self", self)
            for (known in knownPeers.values) entry(known.peer.daemon.text, "${known.peer.address} heard=${now - known.lastContactAt}")
        }

    private fun knownEntries(): List<KnownPeer> = knownPeers.values.filter { it.peer.role == DaemonRole.ENTRY }

    private fun liveKnownEntries(now: Duration): List<KnownPeer> = knownEntries().filter { now - it.lastContactAt < LIVENESS_TIMEOUT }

    private fun removeExpired(now: Duration) {
        val removed = knownPeers.values.filter { now - it.lastContactAt > REMOVAL_TIMEOUT }
        removed.forEach { replaceReport(it, emptyMap()) }
        knownPeers.values.removeAll(removed.toSet())
    }

    private companion object {
        val LIVENESS_TIMEOUT = 2.seconds

        /** A partitioned daemon keeps sending, so it counts towards the shares long after its last contact. */
        val REMOVAL_TIMEOUT = 60.seconds

        /** The time within which every reachable daemon has been discovered. */
        val DISCOVERY_TIME = 3.seconds
        const val ASSUMED_ENTRY_DAEMONS = 10
        val IN_FLIGHT_TTL = 1_500.milliseconds
    }
}

/**
 * Decides which other daemons this process takes for alive, and adds up what entry daemons have in flight.
 *
 * Seeds are only where the search starts; daemons then hear of each other from each other. A daemon counts as alive while
 * it was heard from recently, and is forgotten long after that.
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

/** A daemon and where its peers reach it; [address] is null when it takes no calls. */
data class PeerDaemon(
    val daemon: DaemonId,
    val role: DaemonRole,
    val domain: DomainId,
    val region: RegionId,
    val address: Address?,
)

/** A daemon that another one knows; [age] is how long ago it was last heard from. */
data class LivePeer(
    val peer: PeerDaemon,
    val age: Duration,
)

class PeerController(
    val self: PeerDaemon,
    seeds: List<Address>,
) {
    private class Known(
        var peer: PeerDaemon,
        var heardAt: Duration,
        var inFlight: Map<TargetId, Int> = emptyMap(),
        var inFlightAt: Duration = Duration.ZERO,
    )

    private val known = mutableMapOf<DaemonId, Known>()
    private var startedAt: Duration? = null

    /** Where the search for other daemons starts; a reload of the settings may change it. */
    var seeds: List<Address> = seeds

    /** [peer] called or answered; [inFlight] is what it has at each back end. */
    fun onGossipReceived(
        peer: PeerDaemon,
        inFlight: Map<TargetId, Int>,
        now: Duration,
    ) {
        if (peer.daemon == self.daemon) return
        val entry = known.getOrPut(peer.daemon) { Known(peer, now) }
        entry.peer = peer
        entry.heardAt = now
        entry.inFlight = inFlight
        entry.inFlightAt = now
    }

    /** Another daemon passed on whom it knows. */
    fun mergeLivePeers(
        livePeers: List<LivePeer>,
        now: Duration,
    ) {
        for (sighting in livePeers) {
            if (sighting.peer.daemon == self.daemon || sighting.age > FORGET_AFTER) continue
            val entry = known.getOrPut(sighting.peer.daemon) { Known(sighting.peer, now - sighting.age) }
            entry.heardAt = maxOf(entry.heardAt, now - sighting.age)
        }
    }

    /** The live entry daemons that this one has heard of. */
    fun livePeers(now: Duration): List<LivePeer> = aliveEntries(now).map { LivePeer(it.peer, now - it.heardAt) }

    /** The entry daemons to exchange with, and the seeds that are none of them. */
    fun gossipAddresses(now: Duration): List<Address> {
        forget(now)
        return (knownEntries().mapNotNull { it.peer.address } + seeds).distinct() - listOfNotNull(self.address).toSet()
    }

    /** The live entry daemons, with this one if it is one. */
    fun liveEntries(now: Duration): List<PeerDaemon> {
        val others = aliveEntries(now).map { it.peer }
        return if (self.role == DaemonRole.ENTRY) others + self else others
    }

    /**
     * The number of entry daemons that may be sending, alive or cut off, with this one. A process that has just started
     * assumes that there are more than it has heard of.
     */
    fun entryCount(now: Duration): Int {
        val first = startedAt ?: now.also { startedAt = it }
        val heardOf = 1 + knownEntries().size
        return if (now - first < ACQUAINTANCE) maxOf(heardOf, ASSUMED_ENTRIES) else heardOf
    }

    /** What the other entry daemons have in flight at [target], as far as their word is fresh. */
    fun inFlightElsewhere(
        target: TargetId,
        now: Duration,
    ): Int = known.values.sumOf { if (now - it.inFlightAt < WORD_FRESH_FOR) it.inFlight[target] ?: 0 else 0 }

    fun dump(now: Duration): DumpSection =
        dumpSection("peers") {
            entry("self", self)
            for (each in known.values) entry(each.peer.daemon.text, "${each.peer.address} heard=${now - each.heardAt}")
        }

    private fun knownEntries(): List<Known> = known.values.filter { it.peer.role == DaemonRole.ENTRY }

    private fun aliveEntries(now: Duration): List<Known> = knownEntries().filter { now - it.heardAt < ALIVE_FOR }

    private fun forget(now: Duration) {
        known.values.removeIf { now - it.heardAt > FORGET_AFTER }
    }

    private companion object {
        val ALIVE_FOR = 2.seconds

        /** A daemon that is cut off goes on sending, so it counts for shares long after it was last heard from. */
        val FORGET_AFTER = 60.seconds

        /** By then every reachable daemon was heard of. */
        val ACQUAINTANCE = 3.seconds
        const val ASSUMED_ENTRIES = 10
        val WORD_FRESH_FOR = 1_500.milliseconds
    }
}

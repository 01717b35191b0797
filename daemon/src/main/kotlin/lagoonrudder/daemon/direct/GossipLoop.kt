/**
 * Exchanges gossip messages with other daemons: requests in flight by target, live peers, and store items for a daemon
 * that lags behind the store.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lagoonrudder.control.direct.SlotWord
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.TargetId
import lagoonrudder.model.rendezvousOrder
import lagoonrudder.platform.readItem
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.toItem
import lagoonrudder.wire.messages.toLivePeer
import lagoonrudder.wire.messages.toLoads
import lagoonrudder.wire.messages.toMessage
import lagoonrudder.wire.messages.toMessages
import lagoonrudder.wire.messages.toPeer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the gossip of this daemon. [loads] returns this process's requests in flight by target; [onChange] runs on the
 * control thread after a reply changed the published state.
 */
class GossipLoop(
    private val core: DirectCore,
    private val client: PeerClient,
    private val loads: () -> Map<TargetId, Int>,
    private val onChange: () -> Unit,
) {
    private val exchanges = mutableMapOf<Address, Job>()
    private var behindSince: Duration? = null
    private var lastReplyAt: Duration? = null
    private var sameRegionPeers: Set<Address> = emptySet()

    /** State of the back end in this daemon's slot, or null at an entry daemon. */
    @Volatile
    var slot: SlotWord? = null

    /** Whether any peer has replied within [RECENT_REPLY_WINDOW]. */
    fun hasRecentReply(): Boolean = lastReplyAt?.let { core.clock.elapsed() - it < RECENT_REPLY_WINDOW } ?: false

    suspend fun run() {
        when (core.self.role) {
            DaemonRole.ENTRY -> exchangeWithAll()
            DaemonRole.TARGET -> exchangeWithOne()
        }
    }

    /** Sends [slot] to all live entry daemons immediately, without waiting for the next round. */
    suspend fun announce() {
        val addresses = core.thread.decide { core.peers.liveEntries(core.clock.elapsed()).mapNotNull { it.address } }
        addresses.forEach { address -> core.scope.launch { exchange(address, peersRequested = false) } }
    }

    private suspend fun exchangeWithAll() {
        while (currentCoroutineContext().isActive) {
            val gossipAddresses = core.thread.decide { core.peers.gossipAddresses(core.clock.elapsed()) }
            val removed = exchanges.keys - gossipAddresses.toSet()
            removed.forEach { exchanges.remove(it)?.cancel() }
            for (address in gossipAddresses) exchanges.getOrPut(address) { core.scope.launch { exchangePeriodically(address) } }
            sameRegionPeers = core.thread.decide { sameRegionAddresses() }
            delay(MEMBERSHIP_CHECK_INTERVAL)
        }
    }

    private suspend fun exchangePeriodically(address: Address) {
        var failures = 0
        var round = 0
        while (currentCoroutineContext().isActive) {
            val replied = exchange(address, peersRequested = round++ % ROUNDS_PER_PEER_LIST == 0)
            failures = if (replied) 0 else failures + 1
            val interval = if (address in sameRegionPeers) EXCHANGE_INTERVAL else CROSS_REGION_EXCHANGE_INTERVAL
            delay(if (replied) interval else (RETRY_DELAY * failures).coerceAtMost(MAX_RETRY_DELAY))
        }
    }

    private fun sameRegionAddresses(): Set<Address> =
        core.peers
            .liveEntries(core.clock.elapsed())
            .filter { it.region == core.self.region }
            .mapNotNull { it.address }
            .toSet()

    /** Exchanges with one entry daemon at a time, preferably of this region, and with the next one when that fails. */
    private suspend fun exchangeWithOne() {
        var failures = 0
        while (currentCoroutineContext().isActive) {
            val candidates = core.thread.decide { candidates() }
            val replied = candidates.isNotEmpty() && exchange(candidates[failures % candidates.size], peersRequested = true)
            if (!replied) failures++
            delay(if (replied) TARGET_EXCHANGE_INTERVAL else RETRY_DELAY)
        }
    }

    private fun candidates(): List<Address> {
        val (sameRegion, otherRegions) = core.peers.liveEntries(core.clock.elapsed()).partition { it.region == core.self.region }
        val ordered = rendezvousOrder(core.self.daemon.text, sameRegion) { it.daemon.text } + otherRegions
        return (ordered.mapNotNull { it.address } + core.peers.seeds).distinct()
    }

    private suspend fun exchange(
        address: Address,
        peersRequested: Boolean,
    ): Boolean {
        val message = core.thread.decide { gossipMessage(peersRequested) }
        return when (val reply = client.gossip(address, message)) {
            is Either.Left -> false
            is Either.Right -> {
                lastReplyAt = core.clock.elapsed()
                applyReply(reply.value, address)
                true
            }
        }
    }

    private fun gossipMessage(peersRequested: Boolean): GossipMessage {
        val isLagging = behindSince?.let { core.clock.elapsed() - it > MAX_STORE_LAG } ?: false
        val itemsRequested = isLagging || !core.storeView.confirmed || core.self.role == DaemonRole.TARGET
        return GossipMessage(
            core.self.toMessage(),
            core.storeView.at,
            itemsRequested,
            loads().toMessages(),
            slot?.toMessage(),
            peersRequested,
        )
    }

    private suspend fun applyReply(
        reply: GossipReply,
        address: Address,
    ) {
        val items = reply.items.map { readItem(it.toItem()) }
        val change =
            core.thread.decide {
                val now = core.clock.elapsed()
                core.peers.onGossipReceived(reply.self.toPeer(), reply.loads.toLoads(), now)
                core.peers.mergeLivePeers(reply.livePeers.map { it.toLivePeer() }, now)
                val isBehind = reply.at > core.storeView.at
                if (!isBehind) {
                    behindSince = null
                } else if (behindSince == null) {
                    behindSince = now
                }
                val isUpdate = items.isNotEmpty() || (!core.storeView.confirmed && core.storeView.serving != null && !isBehind)
                if (!isUpdate) return@decide null
                behindSince = null
                core.storeView.applySettledChanges(items, reply.at, now).also { onChange() }
            }
        if (change != null) core.logChange(change, "peer:$address", reply.at)
    }

    private companion object {
        /**
         * Entry daemons of one region send most of their requests to the same back ends, about twelve a second each, so
         * each needs the others' loads promptly.
         */
        val EXCHANGE_INTERVAL = 100.milliseconds

        /** Longer than within a region: each exchange updates both sides, and links between regions have little bandwidth. */
        val CROSS_REGION_EXCHANGE_INTERVAL = 450.milliseconds
        val TARGET_EXCHANGE_INTERVAL = 400.milliseconds
        val RETRY_DELAY = 300.milliseconds
        val MAX_RETRY_DELAY = 2.seconds
        val MEMBERSHIP_CHECK_INTERVAL = 500.milliseconds

        /** A working watch on the store delivers a change within this time; after that, items are requested from peers. */
        val MAX_STORE_LAG = 200.milliseconds
        val RECENT_REPLY_WINDOW = 2.seconds

        /** The list of live peers is requested once in this many exchanges. */
        const val ROUNDS_PER_PEER_LIST = 4
    }
}

/**
 * Exchanges words with other daemons: what each has in flight, who is alive, and what the store's items are for a daemon
 * that lags behind.
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
import lagoonrudder.wire.messages.toLoads
import lagoonrudder.wire.messages.toMessage
import lagoonrudder.wire.messages.toMessages
import lagoonrudder.wire.messages.toPeer
import lagoonrudder.wire.messages.toLivePeer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** [loads] is what this process has in flight; [onChange] runs on the control thread when a peer brought something new. */
class GossipLoop(
    private val core: DirectCore,
    private val client: PeerClient,
    private val loads: () -> Map<TargetId, Int>,
    private val onChange: () -> Unit,
) {
    private val exchanges = mutableMapOf<Address, Job>()
    private var behindSince: Duration? = null
    private var answeredAt: Duration? = null
    private var nearPartners: Set<Address> = emptySet()

    /** The word about the back end in this daemon's slot, or null at an entry daemon. */
    @Volatile
    var slot: SlotWord? = null

    /** Whether any peer has answered lately. */
    fun hasRecentReply(): Boolean = answeredAt?.let { core.clock.elapsed() - it < RECENT_REPLY_WINDOW } ?: false

    suspend fun run() {
        when (core.self.role) {
            DaemonRole.ENTRY -> exchangeWithAll()
            DaemonRole.TARGET -> exchangeWithOne()
        }
    }

    /** Tells all live entry daemons at once what [slot] says. */
    suspend fun announce() {
        val addresses = core.thread.decide { core.peers.liveEntries(core.clock.elapsed()).mapNotNull { it.address } }
        addresses.forEach { address -> core.scope.launch { exchange(address, peersRequested = false) } }
    }

    private suspend fun exchangeWithAll() {
        while (currentCoroutineContext().isActive) {
            val gossipAddresses = core.thread.decide { core.peers.gossipAddresses(core.clock.elapsed()) }
            val over = exchanges.keys - gossipAddresses.toSet()
            over.forEach { exchanges.remove(it)?.cancel() }
            for (partner in gossipAddresses) exchanges.getOrPut(partner) { core.scope.launch { exchangeRepeatedly(partner) } }
            nearPartners = core.thread.decide { nearAddresses() }
            delay(PARTNERS_PAUSE)
        }
    }

    private suspend fun exchangeRepeatedly(address: Address) {
        var failures = 0
        var round = 0
        while (currentCoroutineContext().isActive) {
            val onGossipReceived = exchange(address, peersRequested = round++ % PEERS_EVERY == 0)
            failures = if (onGossipReceived) 0 else failures + 1
            val pause = if (address in nearPartners) EXCHANGE_PAUSE else FAR_EXCHANGE_PAUSE
            delay(if (onGossipReceived) pause else (FAILED_PAUSE * failures).coerceAtMost(LONGEST_PAUSE))
        }
    }

    private fun nearAddresses(): Set<Address> =
        core.peers
            .liveEntries(core.clock.elapsed())
            .filter { it.region == core.self.region }
            .mapNotNull { it.address }
            .toSet()

    /** A target daemon asks one entry daemon of its region at a time, and the next one when that fails. */
    private suspend fun exchangeWithOne() {
        var failures = 0
        while (currentCoroutineContext().isActive) {
            val candidates = core.thread.decide { candidates() }
            val onGossipReceived = candidates.isNotEmpty() && exchange(candidates[failures % candidates.size], peersRequested = true)
            if (!onGossipReceived) failures++
            delay(if (onGossipReceived) TARGET_PAUSE else FAILED_PAUSE)
        }
    }

    private fun candidates(): List<Address> {
        val (near, far) = core.peers.liveEntries(core.clock.elapsed()).partition { it.region == core.self.region }
        val ordered = rendezvousOrder(core.self.daemon.text, near) { it.daemon.text } + far
        return (ordered.mapNotNull { it.address } + core.peers.seeds).distinct()
    }

    private suspend fun exchange(
        address: Address,
        peersRequested: Boolean,
    ): Boolean {
        val message = core.thread.decide { word(peersRequested) }
        return when (val reply = client.word(address, message)) {
            is Either.Left -> false
            is Either.Right -> {
                answeredAt = core.clock.elapsed()
                take(reply.value, address)
                true
            }
        }
    }

    private fun word(peersRequested: Boolean): GossipMessage {
        val lags = behindSince?.let { core.clock.elapsed() - it > LAG_ALLOWED } ?: false
        val itemsRequested = lags || !core.storeView.confirmed || core.self.role == DaemonRole.TARGET
        return GossipMessage(core.self.toMessage(), core.storeView.at, itemsRequested, loads().toMessages(), slot?.toMessage(), peersRequested)
    }

    private suspend fun take(
        reply: GossipReply,
        address: Address,
    ) {
        val items = reply.items.map { readItem(it.toItem()) }
        val change =
            core.thread.decide {
                val now = core.clock.elapsed()
                core.peers.onGossipReceived(reply.self.toPeer(), reply.loads.toLoads(), now)
                core.peers.mergeLivePeers(reply.livePeers.map { it.toLivePeer() }, now)
                val behind = reply.at > core.storeView.at
                if (!behind) {
                    behindSince = null
                } else if (behindSince == null) {
                    behindSince = now
                }
                val brings = items.isNotEmpty() || (!core.storeView.confirmed && core.storeView.serving != null && !behind)
                if (!brings) return@decide null
                behindSince = null
                core.storeView.applySettledChanges(items, reply.at, now).also { onChange() }
            }
        if (change != null) core.logChange(change, "peer:$address", reply.at)
    }

    private companion object {
        /** Neighbours send most of their requests to the same back ends, a dozen a second each. */
        val EXCHANGE_PAUSE = 100.milliseconds

        /** Both sides learn from each exchange, and the links between regions are thin. */
        val FAR_EXCHANGE_PAUSE = 450.milliseconds
        val TARGET_PAUSE = 400.milliseconds
        val FAILED_PAUSE = 300.milliseconds
        val LONGEST_PAUSE = 2.seconds
        val PARTNERS_PAUSE = 500.milliseconds

        /** The store's own watch brings a change within this time when it is sound. */
        val LAG_ALLOWED = 200.milliseconds
        val RECENT_REPLY_WINDOW = 2.seconds
        const val PEERS_EVERY = 4
    }
}

/**
 * Exchanges gossip messages with other daemons: requests in flight by target, live peers, and store items for a daemon
 * that lags behind the store.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import lagoonrudder.control.direct.DecodedItem
import lagoonrudder.control.direct.LoadReport
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.SlotWord
import lagoonrudder.control.direct.StorePosition
import lagoonrudder.control.direct.StoreViewChange
import lagoonrudder.control.direct.admission.LevelDemand
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import lagoonrudder.model.rendezvousOrder
import lagoonrudder.platform.readItem
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.MalformedMessage
import lagoonrudder.wire.messages.configurationInForce
import lagoonrudder.wire.messages.declared
import lagoonrudder.wire.messages.load
import lagoonrudder.wire.messages.position
import lagoonrudder.wire.messages.storeContact
import lagoonrudder.wire.messages.storeContactAge
import lagoonrudder.wire.messages.toConfigurationNumber
import lagoonrudder.wire.messages.toDemandMessages
import lagoonrudder.wire.messages.toHolding
import lagoonrudder.wire.messages.toItem
import lagoonrudder.wire.messages.toLivePeer
import lagoonrudder.wire.messages.toMessage
import lagoonrudder.wire.messages.toMessages
import lagoonrudder.wire.messages.toMilliseconds
import lagoonrudder.wire.messages.toPeer
import lagoonrudder.wire.messages.toReport
import lagoonrudder.wire.messages.upToDateAt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the gossip of this daemon. [loads] returns this process's requests in flight by target, and [demand] what its callers ask for.
 * [onChange] runs on the control thread after a reply changed the published state.
 */
class GossipLoop(
    private val core: DirectCore,
    private val client: PeerClient,
    private val loads: () -> Map<TargetId, Int>,
    private val demand: (Duration) -> Map<ServiceId, List<LevelDemand>> = { emptyMap() },
    private val onChange: () -> Unit,
) {
    private val exchanges = mutableMapOf<Address, Job>()

    /** State of the back end in this daemon's slot, or null at an entry daemon. */
    @Volatile
    var slot: SlotWord? = null

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
        coroutineScope {
            launch { exchangeWithRandomMembers() }
            exchangeWithNear()
        }
    }

    private suspend fun exchangeWithNear() {
        while (currentCoroutineContext().isActive) {
            val addresses = core.thread.decide { core.peers.nearAddresses(core.clock.elapsed()) }
            val removed = exchanges.keys - addresses.toSet()
            removed.forEach { exchanges.remove(it)?.cancel() }
            for (address in addresses) exchanges.getOrPut(address) { core.launchLoop("gossip-near") { exchangePeriodically(address) } }
            delay(MEMBERSHIP_CHECK_INTERVAL)
        }
    }

    private suspend fun exchangePeriodically(address: Address) {
        var failures = 0
        var round = 0
        while (currentCoroutineContext().isActive) {
            val wait = core.thread.decide { core.peers.timeToExchange(address, EXCHANGE_INTERVAL, core.clock.elapsed()) }
            if (wait > Duration.ZERO) {
                delay(wait)
                continue
            }
            val replied = exchange(address, peersRequested = round++ % ROUNDS_PER_PEER_LIST == 0)
            failures = if (replied) 0 else failures + 1
            if (!replied) delay((RETRY_DELAY * failures).coerceAtMost(MAX_RETRY_DELAY))
        }
    }

    /**
     * Exchanges with one random member of each other failure domain at a time. Where there is no other domain, with one of this domain, as
     * only replies tell since when something has been so, and a daemon may be the one that answers in each pair.
     */
    private suspend fun exchangeWithRandomMembers() {
        var round = 0
        while (currentCoroutineContext().isActive) {
            val membersByDomain = core.thread.decide { farOrNearAddresses() }
            val peersRequested = round++ % ROUNDS_PER_FAR_PEER_LIST == 0
            for (members in membersByDomain) core.scope.launch { exchange(members.random(), peersRequested) }
            delay(CROSS_DOMAIN_EXCHANGE_INTERVAL)
        }
    }

    private fun farOrNearAddresses(): Collection<List<Address>> {
        val now = core.clock.elapsed()
        return core.peers
            .farAddresses(now)
            .values
            .ifEmpty { listOf(core.peers.nearAddresses(now)).filter { it.isNotEmpty() } }
    }

    /** Requests the items that [peer] has and this daemon has not, unless another peer is just sending them. */
    suspend fun catchUp(peer: PeerDaemon) {
        val address = peer.address ?: return
        if (!core.thread.decide { beginCatchUp(peer, address) }) return
        core.scope.launch {
            try {
                exchange(address, peersRequested = false, itemsRequested = true)
            } finally {
                withContext(NonCancellable) { core.thread.decide { core.catchUp.onEnded(address) } }
            }
        }
    }

    private fun beginCatchUp(
        peer: PeerDaemon,
        address: Address,
    ): Boolean {
        val now = core.clock.elapsed()
        return core.storeReader.mayCatchUpFrom(peer, now) && core.catchUp.begin(address, now)
    }

    /** Returns what to call for each part of a response of the peer at [address], which come in quick succession. */
    private fun progressOf(address: Address): () -> Unit {
        var reportedAt = -Duration.INFINITE
        return {
            val now = core.clock.elapsed()
            if (now - reportedAt >= PROGRESS_INTERVAL) {
                reportedAt = now
                core.scope.launch { core.thread.decide { core.catchUp.onProgress(address, now) } }
            }
        }
    }

    /** Returns the load to report to [peer]. Runs on the control thread. */
    fun loadFor(
        peer: PeerDaemon?,
        now: Duration,
    ): LoadReport = core.peers.loadFor(peer, loads(), now, demand(now))

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
        itemsRequested: Boolean = false,
        evidenceIncluded: Boolean = false,
    ): Boolean {
        val message = core.thread.decide { gossipMessage(address, peersRequested, itemsRequested, evidenceIncluded) }
        val sentAt = core.clock.elapsed()
        return when (val reply = client.gossip(address, message, if (itemsRequested) progressOf(address) else ({}))) {
            is Either.Left -> {
                core.thread.decide { core.peers.peerAt(address)?.let { core.holdings.onForgotten(it.daemon) } }
                false
            }
            is Either.Right -> {
                val isPeerBehind = applyReply(reply.value, address, sentAt)
                if (isPeerBehind && !evidenceIncluded) exchange(address, peersRequested = false, evidenceIncluded = true)
                true
            }
        }
    }

    private fun gossipMessage(
        address: Address,
        peersRequested: Boolean,
        itemsRequested: Boolean,
        evidenceIncluded: Boolean,
    ): GossipMessage {
        val now = core.clock.elapsed()
        val peer = core.peers.peerAt(address)
        val load = loadFor(peer, now)
        return GossipMessage(
            core.self.toMessage(),
            core.storeView.at.revision.number,
            itemsRequested || core.storeView.isSettling(now) || core.self.role == DaemonRole.TARGET,
            load.inFlight.toMessages(),
            slot?.toMessage(),
            peersRequested,
            load.daemons,
            core.storeReader.contactAge(now).toMilliseconds(),
            core.suspicions.digest,
            if (evidenceIncluded) core.suspicions.report(now).toMessage() else null,
            core.contactToTell()?.let { now - it.since }.toMilliseconds(),
            holdings = core.holdings.toTell(peer, now).map { it.toMessage() },
            declarations = core.versionsToTell().map { it.toMessage(now) },
            upToDateMilliseconds = core.upToDateAgeToTell().toMilliseconds(),
            demand = load.demand.toDemandMessages(),
            era = core.storeView.at.era.number,
            deflatedAccepted = true,
            configuration =
                core.storeView.serving
                    ?.revision
                    .toConfigurationNumber(),
        )
    }

    /** Applies the reply to a message sent at [sentAt]. Returns whether the peer lacks evidence about crashes that this daemon has. */
    private suspend fun applyReply(
        reply: GossipReply,
        address: Address,
        sentAt: Duration,
    ): Boolean {
        val items = itemsOf(reply) ?: return false
        val peer = reply.self.toPeer()
        val (change, isBehind, isPeerBehind) =
            core.thread.decide {
                val now = core.clock.elapsed()
                val lacksEvidence = applyEvidence(reply, now)
                core.peers.onGossipReceived(peer, reply.load, reply.storeContactAge, now)
                reply.storeContact(sentAt, now)?.let { core.storeView.onStoreHeard(it) }
                core.holdings.onHeard(peer, reply.holdings.mapNotNull { it.toHolding() }, now)
                if (reply.position == StorePosition.NONE) core.holdings.onForgotten(peer.daemon)
                core.peers.mergeLivePeers(reply.livePeers.map { it.toLivePeer() }, now)
                val isBehind = core.storeView.isOutdatedBy(reply.position, reply.configurationInForce)
                if (core.catchUp.onHeard(reply.position, now)) logLag(reply.position, now)
                val isUpdate = items.isNotEmpty() || (!core.storeView.confirmed && core.storeView.serving != null && !isBehind)
                val change = if (isUpdate) applyItems(items, reply, now) else null
                core.storeView.versions.onTold(reply.declared(sentAt, now), askedAt = sentAt)
                reply.upToDateAt(sentAt)?.let { core.storeView.onUpToDateHeard(reply.position, it, askedAt = sentAt) }
                if (change != null) onChange()
                Triple(change, isBehind && !isUpdate, lacksEvidence)
            }
        if (change != null) core.logChange(change, "peer:$address", reply.position)
        if (isBehind && core.self.role == DaemonRole.ENTRY) catchUp(peer)
        return isPeerBehind
    }

    /** Returns the items of [reply]; null if one can't be decoded. */
    private fun itemsOf(reply: GossipReply): List<DecodedItem>? =
        try {
            reply.items.map { readItem(it.toItem()) }
        } catch (malformed: MalformedMessage) {
            core.log.warning("gossip-malformed", "detail" to malformed.message)
            null
        }

    private fun logLag(
        heard: StorePosition,
        now: Duration,
    ) = core.log.warning(
        "state-lags",
        "at" to core.storeView.at,
        "heard" to heard,
        "for" to core.catchUp.lag(now),
        "further-requests" to core.catchUp.furtherRequests,
    )

    /** Runs on the control thread. */
    private fun applyItems(
        items: List<DecodedItem>,
        reply: GossipReply,
        now: Duration,
    ): StoreViewChange =
        if (reply.itemsComplete) {
            core.storeView.applySettledSnapshot(items, reply.position, now)
        } else {
            core.storeView.applySettledChanges(items, reply.position, now)
        }

    /** Returns whether the peer lacks evidence that this daemon has. Runs on the control thread. */
    private fun applyEvidence(
        reply: GossipReply,
        now: Duration,
    ): Boolean {
        if (core.self.role != DaemonRole.ENTRY) return false
        reply.evidence?.let { core.suspicions.onGossipReceived(it.toReport(), now) }
        return reply.evidenceDigest != core.suspicions.digest
    }

    private companion object {
        /**
         * Entry daemons of one failure domain send most of their requests to the same back ends, about twelve a second each, so
         * each needs the others' loads promptly.
         */
        val EXCHANGE_INTERVAL = 100.milliseconds

        /** Longer than within a domain: each exchange updates both sides, and links between regions have little bandwidth. */
        val CROSS_DOMAIN_EXCHANGE_INTERVAL = 450.milliseconds
        val TARGET_EXCHANGE_INTERVAL = 400.milliseconds
        val PROGRESS_INTERVAL = 50.milliseconds
        val RETRY_DELAY = 300.milliseconds
        val MAX_RETRY_DELAY = 2.seconds
        val MEMBERSHIP_CHECK_INTERVAL = 500.milliseconds

        /** The list of live peers is requested once in this many exchanges. */
        const val ROUNDS_PER_PEER_LIST = 4
        const val ROUNDS_PER_FAR_PEER_LIST = 2
    }
}

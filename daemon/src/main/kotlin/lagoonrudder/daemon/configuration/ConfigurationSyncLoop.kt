/**
 * Keeps the configuration and the list of instances up to date: reads them at start-up, watches the platform while this
 * daemon is a watcher, forwards new revisions to peers, and catches up on missed updates by periodic exchanges with peers.
 */
package lagoonrudder.daemon.configuration

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import lagoonrudder.control.CheckedSet
import lagoonrudder.control.ConfigurationOutcome
import lagoonrudder.control.InstanceChanges
import lagoonrudder.control.startsFrom
import lagoonrudder.daemon.DaemonCore
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.Instance
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Revision
import lagoonrudder.model.SnapshotDelta
import lagoonrudder.wire.documents.SealedHead
import lagoonrudder.wire.documents.readHead
import lagoonrudder.wire.documents.readParts
import lagoonrudder.wire.documents.readSet
import lagoonrudder.wire.documents.writeChanges
import lagoonrudder.wire.documents.writeSet
import lagoonrudder.wire.messages.ExchangeMessage
import lagoonrudder.wire.messages.ExchangeReply
import lagoonrudder.wire.messages.OfferMessage
import lagoonrudder.wire.messages.OfferReply
import lagoonrudder.wire.messages.toMessage
import lagoonrudder.wire.rpc.ExchangeResult
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** [onChange] runs on the control thread whenever a configuration became active or the list of instances changed. */
class ConfigurationSyncLoop(
    private val core: DaemonCore,
    private val onChange: () -> Unit,
) {
    private val domain = core.settings.domain
    private var headGeneration = 0L
    private var listGeneration = 0L
    private var exchanges = 0

    /** Failures of each watch since its last success; the delay before the next try doubles with each. */
    private val consecutiveFailures = ConcurrentHashMap<String, Int>()

    /** Starts the confirmation, the watches and the exchanges with peers; returns immediately. */
    fun start() {
        core.scope.launch {
            confirm(START_TIMEOUT)
            launch { watchRepeatedly(HEAD_WATCH_FAILED) { watchHead() } }
            launch { watchRepeatedly(LIST_WATCH_FAILED) { watchList() } }
            launch { exchangePeriodically() }
        }
    }

    /**
     * Requests newer state from the platform and several peers, waits up to [timeout] for their replies, and marks the
     * configuration as confirmed, so that new requests are accepted.
     */
    suspend fun confirm(timeout: Duration) {
        coroutineScope {
            val requests =
                listOf(launch { readHeadFromPlatform(timeout) }, launch { readInstancesFromPlatform(timeout) }) +
                    confirmationPeers().map { launch { exchange(it, timeout) } }
            requests.joinAll()
        }
        val revision =
            core.thread.decide {
                core.configuration.confirm()
                onChange()
                core.configuration.current.revision
            }
        core.log.info("configuration-confirmed", "revision" to revision.number)
    }

    /** Applies a configuration, or the changes of one, that a peer forwarded. */
    suspend fun applyOffer(message: OfferMessage): OfferReply {
        val peer = Peer(PeerRole.ENTRY, message.sender)
        if (message.full) {
            offerFullText(message.text, peer)
            return OfferReply()
        }
        val head = readHead(message.text, peer).getOrElse { return reject(it) }
        val changes = head.changes ?: return OfferReply(needsFullSet = true)
        return OfferReply(needsFullSet = !offerChanges(changes, peer))
    }

    /** Replies to a peer that reports its revision and list generation with whatever is newer at this daemon. */
    suspend fun replyTo(message: ExchangeMessage): ExchangeReply {
        val revision = Revision(message.revision)
        val digest = Digest(message.digest)
        val local = core.thread.decide { localState(revision, digest, message.listGeneration) }
        val set = local.set
        return ExchangeReply(
            revision = set.revision.number,
            digest = set.digest.hexadecimal,
            offer = if (isNewer(set, revision, digest)) offerMessage(set, local.changes) else null,
            instances = local.instances?.toMessage(),
        )
    }

    /** The configuration of this process, and the changes of it and of the list of instances that a peer lacks. */
    private data class LocalState(
        val set: ObjectSnapshot,
        val changes: SnapshotDelta?,
        val instances: InstanceChanges?,
    )

    private fun localState(
        revision: Revision,
        digest: Digest,
        generation: Long,
    ) = LocalState(
        core.configuration.current,
        core.configuration.changesSince(revision, digest),
        core.membership.changesSince(generation),
    )

    private fun isNewer(
        current: ObjectSnapshot,
        revision: Revision,
        digest: Digest,
    ): Boolean = current.revision > revision || (current.revision == revision && revision > Revision.NONE && current.digest > digest)

    private fun offerMessage(
        current: ObjectSnapshot,
        changes: SnapshotDelta?,
    ): OfferMessage {
        val sender = core.settings.name.text
        return if (changes == null) OfferMessage(sender, true, writeSet(current)) else OfferMessage(sender, false, writeChanges(changes))
    }

    /** Runs [watch] repeatedly while this daemon is a watcher, with exponential back-off while it fails. */
    private suspend fun watchRepeatedly(
        event: String,
        watch: suspend () -> Either<Failure, Unit>,
    ) {
        while (core.scope.isActive) {
            if (!isWatcher()) {
                delay(WATCHER_CHECK_INTERVAL)
                continue
            }
            watch().fold({ onPlatformFailure(event, it) }, { consecutiveFailures.remove(event) })
        }
    }

    /** After a watch without a result, watches from generation 0, in case the platform has restarted its generations. */
    private suspend fun watchHead(): Either<Failure, Unit> =
        core.platform.watchHead(headGeneration, WATCH_TIMEOUT).map { head ->
            headGeneration = head?.let { if (applyHead(it.value)) it.generation else headGeneration } ?: 0
        }

    private suspend fun watchList(): Either<Failure, Unit> =
        core.platform.watchInstances(listGeneration, WATCH_TIMEOUT).map { list ->
            list?.let { applyList(it.value, it.generation) }
            listGeneration = list?.generation ?: 0
        }

    private suspend fun onPlatformFailure(
        event: String,
        failure: Failure,
    ) {
        core.metrics.count("platform.failures", event)
        core.log.failure(event, failure)
        val failures = consecutiveFailures.merge(event, 1, Int::plus) ?: 1
        delay(INITIAL_RETRY_DELAY * (1 shl (failures - 1).coerceAtMost(MAX_DOUBLINGS)))
    }

    private suspend fun isWatcher(): Boolean =
        core.thread.decide { core.dissemination.shouldWatch(core.membership.liveDaemons(domain, core.clock.elapsed())) }

    private suspend fun readHeadFromPlatform(timeout: Duration) {
        core.platform.head(timeout).fold({ core.log.failure("configuration-read-failed", it) }) { value ->
            if (value != null && applyHead(value.value)) headGeneration = value.generation
        }
    }

    private suspend fun readInstancesFromPlatform(timeout: Duration) {
        core.platform.watchInstances(0, timeout).fold({ core.log.failure("instances-read-failed", it) }) { value ->
            if (value != null) applyList(value.value, value.generation)
        }
    }

    private suspend fun applyList(
        instances: List<Instance>,
        generation: Long,
    ) {
        core.thread.decide { if (core.membership.replaceList(instances, generation)) onChange() }
    }

    /** Applies a head that was read from the platform; returns false when it must be read again. */
    private suspend fun applyHead(text: String): Boolean {
        val head = readHead(text, core.platform.peer).getOrElse { return true.also { _ -> reject(it) } }
        val changes = head.changes
        if (changes != null && offerChanges(changes, core.platform.peer)) return true
        val current = core.thread.decide { core.configuration.current }
        if (head.revision < current.revision) return true
        return readAndOffer(head)
    }

    private suspend fun readAndOffer(head: SealedHead): Boolean {
        val parts = mutableMapOf<Digest, String>()
        for (digest in head.parts) {
            val part = core.platform.part(digest, PART_TIMEOUT)
            parts[digest] = part.getOrElse { return false.also { _ -> onPlatformFailure("configuration-part-failed", it) } }
        }
        readParts(head, parts, core.platform.peer).fold({ reject(it) }) { offerFull(it, core.platform.peer) }
        return true
    }

    private suspend fun offerFullText(
        text: String,
        peer: Peer,
    ) {
        readSet(text, peer).fold({ reject(it) }) { offerFull(it, peer) }
    }

    /** Offers changes to the controller; returns false when the full set is required. */
    private suspend fun offerChanges(
        changes: SnapshotDelta,
        peer: Peer,
    ): Boolean {
        val current = core.thread.decide { core.configuration.current }
        val superseded = changes.revision < current.revision || (changes.revision == current.revision && changes.digest == current.digest)
        if (superseded) return true
        if (!startsFrom(changes, current)) return false
        val checked = CheckedSet.ofChanges(changes, current, peer).getOrElse { return true.also { _ -> reject(it) } }
        return when (activate(checked)) {
            ConfigurationOutcome.BaseChanged -> offerChanges(changes, peer)
            else -> true
        }
    }

    private suspend fun offerFull(
        offered: ObjectSnapshot,
        peer: Peer,
    ) {
        val current = core.thread.decide { core.configuration.current }
        if (offered.revision < current.revision) return
        val checked = CheckedSet.ofFullSet(offered, current, peer).getOrElse { return reject(it).let { } }
        if (activate(checked) is ConfigurationOutcome.BaseChanged) offerFull(offered, peer)
    }

    private suspend fun activate(checked: CheckedSet): ConfigurationOutcome {
        val outcome =
            core.thread.decide {
                val outcome = core.configuration.offer(checked)
                if (outcome is ConfigurationOutcome.Accepted) onChange()
                outcome
            }
        when (outcome) {
            is ConfigurationOutcome.Accepted -> onAccepted(outcome, checked.peer)
            is ConfigurationOutcome.Superseded -> if (outcome.conflicting) reportConflict(checked)
            ConfigurationOutcome.Known, ConfigurationOutcome.BaseChanged -> Unit
        }
        return outcome
    }

    private fun onAccepted(
        outcome: ConfigurationOutcome.Accepted,
        peer: Peer,
    ) {
        val revision = outcome.set.revision
        core.metrics.count("configuration.accepted", "accepted")
        core.log.info("configuration-accepted", "revision" to revision.number, "digest" to outcome.set.digest.hexadecimal, "peer" to peer)
        if (outcome.wonConflict) core.log.error("configuration-twins", "revision" to revision.number, "peer" to peer, "kept" to "offered")
        core.scope.launch { forward(outcome) }
    }

    private fun reportConflict(checked: CheckedSet) {
        core.metrics.count("configuration.twins", "twins")
        core.log.error("configuration-twins", "revision" to checked.set.revision.number, "peer" to checked.peer, "kept" to "current")
    }

    private suspend fun reject(failure: Failure): OfferReply {
        core.thread.decide { core.configuration.onRejected() }
        core.metrics.count("configuration.rejected", failure.step.name.lowercase())
        core.log.failure("configuration-rejected", failure)
        return OfferReply()
    }

    private suspend fun forward(outcome: ConfigurationOutcome.Accepted) {
        val children =
            core.thread.decide {
                core.dissemination
                    .children(outcome.set.revision, core.membership.liveDaemons(domain, core.clock.elapsed()))
                    .mapNotNull(core.membership::instance)
            }
        if (children.isEmpty()) return
        val message = OfferMessage(core.settings.name.text, false, writeChanges(outcome.changes))
        coroutineScope { children.forEach { child -> launch { forwardTo(child, message, outcome.set) } } }
    }

    private suspend fun forwardTo(
        child: Instance,
        message: OfferMessage,
        set: ObjectSnapshot,
    ) {
        val reply = core.rpc.offer(child.address, message, OFFER_TIMEOUT)
        val needsFull = reply.fold({ onOfferFailed(child.daemon, it) }, { it.needsFullSet })
        if (needsFull) core.rpc.offer(child.address, OfferMessage(core.settings.name.text, true, writeSet(set)), OFFER_TIMEOUT)
    }

    private suspend fun onOfferFailed(
        daemon: DaemonId,
        failure: Failure,
    ): Boolean {
        core.thread.decide { core.membership.suspect(daemon, core.clock.elapsed()) }
        core.log.failure("offer-failed", failure, "daemon" to daemon.text)
        return false
    }

    private suspend fun exchangePeriodically() {
        while (core.scope.isActive) {
            delay(EXCHANGE_INTERVAL)
            val peer = exchangePeer() ?: continue
            exchange(peer, EXCHANGE_TIMEOUT)
        }
    }

    /** Picks a peer of this failure domain, each [CROSS_DOMAIN_EVERY]th time one of another, or a seed if no peer is known. */
    private suspend fun exchangePeer(): Address? {
        exchanges++
        val crossDomain = exchanges % CROSS_DOMAIN_EVERY == 0
        val known = core.thread.decide { if (crossDomain) peerOfOtherDomain() else peerOfOwnDomain() }
        return known?.address ?: otherSeeds().randomOrNull(core.random)
    }

    private fun peerOfOwnDomain(): Instance? {
        val liveDaemons = core.membership.liveDaemons(domain, core.clock.elapsed())
        return core.dissemination.exchangePeer(liveDaemons)?.let(core.membership::instance)
    }

    private fun peerOfOtherDomain(): Instance? =
        core.membership
            .instances()
            .filter { it.domain != domain && it.role == DaemonRole.ENTRY && !it.leaving }
            .randomOrNull(core.random)

    private suspend fun confirmationPeers(): List<Address> {
        val known =
            core.thread.decide {
                core.membership
                    .instances()
                    .filter { it.daemon != core.settings.name && !it.leaving }
                    .shuffled(core.random)
                    .sortedBy { it.domain != domain }
                    .map { it.address }
            }
        return (known + otherSeeds()).distinct().take(MAX_CONFIRMATION_PEERS)
    }

    private fun otherSeeds(): List<Address> = core.settings.seeds.filter { it != core.settings.listen.rpc }

    private suspend fun exchange(
        address: Address,
        timeout: Duration,
    ) {
        val own = core.thread.decide { localState(Revision.NONE, Digest(""), Long.MAX_VALUE) }
        val generation = core.thread.decide { core.membership.generation() }
        val message = ExchangeMessage(own.set.revision.number, own.set.digest.hexadecimal, generation)
        core.rpc.exchange(address, message, timeout).fold(
            { core.log.failure("exchange-failed", it) },
            { applyReply(it, address, own.set) },
        )
    }

    private suspend fun applyReply(
        reply: ExchangeResult,
        peer: Address,
        own: ObjectSnapshot,
    ) {
        reply.instances?.let { changes -> core.thread.decide { if (core.membership.apply(changes)) onChange() } }
        val offer = reply.offer
        if (offer != null) {
            val needsFull = applyOffer(offer).needsFullSet
            if (needsFull) core.rpc.exchange(peer, ExchangeMessage(), OFFER_TIMEOUT).onRight { full -> full.offer?.let { applyOffer(it) } }
            return
        }
        val isPeerBehind = isNewer(own, reply.revision, reply.digest)
        if (isPeerBehind) core.rpc.offer(peer, OfferMessage(core.settings.name.text, true, writeSet(own)), OFFER_TIMEOUT)
    }

    private companion object {
        val START_TIMEOUT = 2.seconds
        val WATCH_TIMEOUT = 20.seconds
        val WATCHER_CHECK_INTERVAL = 1.seconds
        val INITIAL_RETRY_DELAY = 500.milliseconds
        val PART_TIMEOUT = 5.seconds
        val OFFER_TIMEOUT = 2.seconds
        val EXCHANGE_INTERVAL = 1.seconds
        val EXCHANGE_TIMEOUT = 1.seconds
        const val CROSS_DOMAIN_EVERY = 5
        const val MAX_DOUBLINGS = 4
        const val HEAD_WATCH_FAILED = "configuration-watch-failed"
        const val LIST_WATCH_FAILED = "instances-watch-failed"
        const val MAX_CONFIRMATION_PEERS = 5
    }
}

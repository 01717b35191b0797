/**
 * Keeps the configuration and the list of instances current: asks at the start, watches the platform where this daemon is
 * a watcher, passes new revisions on, and mends what was missed by exchanges with peers.
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
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Revision
import lagoonrudder.model.SnapshotDelta
import lagoonrudder.model.ObjectSnapshot
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

/** [onChange] runs on the control thread whenever a set came into force or the list of instances changed. */
class ConfigurationSyncLoop(
    private val core: DaemonCore,
    private val onChange: () -> Unit,
) {
    private val domain = core.settings.domain
    private var headGeneration = 0L
    private var listGeneration = 0L
    private var exchanges = 0

    /** Failures of each watch since its last success; the pause between tries doubles with them. */
    private val failuresInRow = ConcurrentHashMap<String, Int>()

    /** Starts to confirm, watch and exchange; returns at once. */
    fun start() {
        core.scope.launch {
            confirm(START_LIMIT)
            launch { watching(HEAD_FAILED) { watchHead() } }
            launch { watching(LIST_FAILED) { watchList() } }
            launch { exchangeAll() }
        }
    }

    /** Asks the platform and several peers for what is newer, waits up to [limit] for them, and lets new work in. */
    suspend fun confirm(limit: Duration) {
        coroutineScope {
            val asked =
                listOf(launch { askPlatform(limit) }, launch { askInstances(limit) }) +
                    confirmationPeers().map { launch { exchange(it, limit) } }
            asked.joinAll()
        }
        val revision =
            core.thread.decide {
                core.configuration.confirm()
                onChange()
                core.configuration.current.revision
            }
        core.log.info("configuration-confirmed", "revision" to revision.number)
    }

    /** A peer passed a set on. */
    suspend fun take(message: OfferMessage): OfferReply {
        val peer = Peer(PeerRole.ENTRY, message.sender)
        if (message.full) {
            offerWholeText(message.text, peer)
            return OfferReply()
        }
        val head = readHead(message.text, peer).getOrElse { return reject(it) }
        val changes = head.changes ?: return OfferReply(needsFullSet = true)
        return OfferReply(needsFullSet = !offerChanges(changes, peer))
    }

    /** A peer says what it has and is told what is newer here. */
    suspend fun answer(message: ExchangeMessage): ExchangeReply {
        val revision = Revision(message.revision)
        val digest = Digest(message.digest)
        val known = core.thread.decide { known(revision, digest, message.listGeneration) }
        val set = known.set
        return ExchangeReply(
            revision = set.revision.number,
            digest = set.digest.hexadecimal,
            offer = if (isNewer(set, revision, digest)) offerMessage(set, known.changes) else null,
            instances = known.instances?.toMessage(),
        )
    }

    /** What this process has and what a peer lacks of it. */
    private data class Known(
        val set: ObjectSnapshot,
        val changes: SnapshotDelta?,
        val instances: InstanceChanges?,
    )

    private fun known(
        revision: Revision,
        digest: Digest,
        generation: Long,
    ) = Known(
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

    /** Runs [watch] over and over while this daemon is a watcher, with pauses that grow while it fails. */
    private suspend fun watching(
        event: String,
        watch: suspend () -> Either<Failure, Unit>,
    ) {
        while (core.scope.isActive) {
            if (!isWatcher()) {
                delay(WATCHER_INTERVAL)
                continue
            }
            watch().fold({ failed(event, it) }, { failuresInRow.remove(event) })
        }
    }

    /** A watch that brought nothing starts from the beginning, in case the platform counts anew. */
    private suspend fun watchHead(): Either<Failure, Unit> =
        core.platform.watchHead(headGeneration, WATCH_TIME).map { found ->
            headGeneration = found?.let { if (takeHead(it.value)) it.generation else headGeneration } ?: 0
        }

    private suspend fun watchList(): Either<Failure, Unit> =
        core.platform.watchInstances(listGeneration, WATCH_TIME).map { found ->
            found?.let { takeList(it.value, it.generation) }
            listGeneration = found?.generation ?: 0
        }

    private suspend fun failed(
        event: String,
        failure: Failure,
    ) {
        core.metrics.count("platform.failures", event)
        core.log.failure(event, failure)
        val times = failuresInRow.merge(event, 1, Int::plus) ?: 1
        delay(FAILURE_PAUSE * (1 shl (times - 1).coerceAtMost(MOST_DOUBLINGS)))
    }

    private suspend fun isWatcher(): Boolean =
        core.thread.decide { core.spread.shouldWatch(core.membership.liveDaemons(domain, core.clock.elapsed())) }

    private suspend fun askPlatform(limit: Duration) {
        core.platform.head(limit).fold({ core.log.failure("configuration-read-failed", it) }) { value ->
            if (value != null && takeHead(value.value)) headGeneration = value.generation
        }
    }

    private suspend fun askInstances(limit: Duration) {
        core.platform.watchInstances(0, limit).fold({ core.log.failure("instances-read-failed", it) }) { value ->
            if (value != null) takeList(value.value, value.generation)
        }
    }

    private suspend fun takeList(
        instances: List<Instance>,
        generation: Long,
    ) {
        core.thread.decide { if (core.membership.replaceList(instances, generation)) onChange() }
    }

    /** Takes a head from the platform; false when it must be read again. */
    private suspend fun takeHead(text: String): Boolean {
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
            val part = core.platform.part(digest, PART_LIMIT)
            parts[digest] = part.getOrElse { return false.also { _ -> failed("configuration-part-failed", it) } }
        }
        readParts(head, parts, core.platform.peer).fold({ reject(it) }) { offerWhole(it, core.platform.peer) }
        return true
    }

    private suspend fun offerWholeText(
        text: String,
        peer: Peer,
    ) {
        readSet(text, peer).fold({ reject(it) }) { offerWhole(it, peer) }
    }

    /** Offers changes; false when the whole set is needed. */
    private suspend fun offerChanges(
        changes: SnapshotDelta,
        peer: Peer,
    ): Boolean {
        val current = core.thread.decide { core.configuration.current }
        val settled = changes.revision < current.revision || (changes.revision == current.revision && changes.digest == current.digest)
        if (settled) return true
        if (!startsFrom(changes, current)) return false
        val checked = CheckedSet.ofChanges(changes, current, peer).getOrElse { return true.also { _ -> reject(it) } }
        return when (put(checked)) {
            ConfigurationOutcome.BaseChanged -> offerChanges(changes, peer)
            else -> true
        }
    }

    private suspend fun offerWhole(
        offered: ObjectSnapshot,
        peer: Peer,
    ) {
        val current = core.thread.decide { core.configuration.current }
        if (offered.revision < current.revision) return
        val checked = CheckedSet.ofFullSet(offered, current, peer).getOrElse { return reject(it).let { } }
        if (put(checked) is ConfigurationOutcome.BaseChanged) offerWhole(offered, peer)
    }

    private suspend fun put(checked: CheckedSet): ConfigurationOutcome {
        val outcome =
            core.thread.decide {
                val outcome = core.configuration.offer(checked)
                if (outcome is ConfigurationOutcome.Accepted) onChange()
                outcome
            }
        when (outcome) {
            is ConfigurationOutcome.Accepted -> accepted(outcome, checked.peer)
            is ConfigurationOutcome.Superseded -> if (outcome.conflicting) alarm(checked)
            ConfigurationOutcome.Known, ConfigurationOutcome.BaseChanged -> Unit
        }
        return outcome
    }

    private fun accepted(
        outcome: ConfigurationOutcome.Accepted,
        peer: Peer,
    ) {
        val revision = outcome.set.revision
        core.metrics.count("configuration.accepted", "accepted")
        core.log.info("configuration-accepted", "revision" to revision.number, "digest" to outcome.set.digest.hexadecimal, "peer" to peer)
        if (outcome.wonConflict) core.log.error("configuration-twins", "revision" to revision.number, "peer" to peer, "kept" to "offered")
        core.scope.launch { passOn(outcome) }
    }

    private fun alarm(checked: CheckedSet) {
        core.metrics.count("configuration.twins", "twins")
        core.log.error("configuration-twins", "revision" to checked.set.revision.number, "peer" to checked.peer, "kept" to "current")
    }

    private suspend fun reject(failure: Failure): OfferReply {
        core.thread.decide { core.configuration.onRejected() }
        core.metrics.count("configuration.rejected", failure.step.name.lowercase())
        core.log.failure("configuration-rejected", failure)
        return OfferReply()
    }

    private suspend fun passOn(outcome: ConfigurationOutcome.Accepted) {
        val children =
            core.thread.decide {
                core.spread
                    .children(outcome.set.revision, core.membership.liveDaemons(domain, core.clock.elapsed()))
                    .mapNotNull(core.membership::instance)
            }
        if (children.isEmpty()) return
        val message = OfferMessage(core.settings.name.text, false, writeChanges(outcome.changes))
        coroutineScope { children.forEach { child -> launch { pass(child, message, outcome.set) } } }
    }

    private suspend fun pass(
        child: Instance,
        message: OfferMessage,
        set: ObjectSnapshot,
    ) {
        val reply = core.rpc.offer(child.address, message, OFFER_LIMIT)
        val needsFullSet = reply.fold({ unheard(child.daemon, it) }, { it.needsFullSet })
        if (needsFullSet) core.rpc.offer(child.address, OfferMessage(core.settings.name.text, true, writeSet(set)), OFFER_LIMIT)
    }

    private suspend fun unheard(
        daemon: DaemonId,
        failure: Failure,
    ): Boolean {
        core.thread.decide { core.membership.suspect(daemon, core.clock.elapsed()) }
        core.log.failure("peer-unheard", failure, "daemon" to daemon.text)
        return false
    }

    private suspend fun exchangeAll() {
        while (core.scope.isActive) {
            delay(EXCHANGE_INTERVAL)
            val peer = exchangePeer() ?: continue
            exchange(peer, EXCHANGE_LIMIT)
        }
    }

    /** Mostly a peer of this failure domain; now and then one of another, and a seed while nobody is known. */
    private suspend fun exchangePeer(): Address? {
        exchanges++
        val abroad = exchanges % ABROAD_EVERY == 0
        val known = core.thread.decide { if (abroad) peerAbroad() else peerAtHome() }
        return known?.address ?: otherSeeds().randomOrNull(core.random)
    }

    private fun peerAtHome(): Instance? {
        val liveDaemons = core.membership.liveDaemons(domain, core.clock.elapsed())
        return core.spread.exchangePeer(liveDaemons)?.let(core.membership::instance)
    }

    private fun peerAbroad(): Instance? =
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
        return (known + otherSeeds()).distinct().take(CONFIRMATION_PEERS)
    }

    private fun otherSeeds(): List<Address> = core.settings.seeds.filter { it != core.settings.listen.rpc }

    private suspend fun exchange(
        address: Address,
        limit: Duration,
    ) {
        val own = core.thread.decide { known(Revision.NONE, Digest(""), Long.MAX_VALUE) }
        val generation = core.thread.decide { core.membership.generation() }
        val message = ExchangeMessage(own.set.revision.number, own.set.digest.hexadecimal, generation)
        core.rpc.exchange(address, message, limit).fold(
            { core.log.failure("exchange-failed", it) },
            { takeReply(it, address, own.set) },
        )
    }

    private suspend fun takeReply(
        reply: ExchangeResult,
        address: Address,
        own: ObjectSnapshot,
    ) {
        reply.instances?.let { changes -> core.thread.decide { if (core.membership.apply(changes)) onChange() } }
        val offer = reply.offer
        if (offer != null) {
            val needsFullSet = take(offer).needsFullSet
            if (needsFullSet) core.rpc.exchange(address, ExchangeMessage(), OFFER_LIMIT).onRight { full -> full.offer?.let { take(it) } }
            return
        }
        val peerBehind = isNewer(own, reply.revision, reply.digest)
        if (peerBehind) core.rpc.offer(address, OfferMessage(core.settings.name.text, true, writeSet(own)), OFFER_LIMIT)
    }

    private companion object {
        val START_LIMIT = 2.seconds
        val WATCH_TIME = 20.seconds
        val WATCHER_INTERVAL = 1.seconds
        val FAILURE_PAUSE = 500.milliseconds
        val PART_LIMIT = 5.seconds
        val OFFER_LIMIT = 2.seconds
        val EXCHANGE_INTERVAL = 1.seconds
        val EXCHANGE_LIMIT = 1.seconds
        const val ABROAD_EVERY = 5
        const val MOST_DOUBLINGS = 4
        const val HEAD_FAILED = "configuration-watch-failed"
        const val LIST_FAILED = "instances-watch-failed"
        const val CONFIRMATION_PEERS = 5
    }
}

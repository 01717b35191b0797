/**
 * Serves gossip messages, manifests and chunks of weights to the peers of an entry daemon.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import lagoonrudder.control.direct.StoreItems
import lagoonrudder.control.direct.StorePosition
import lagoonrudder.http.HttpExchange
import lagoonrudder.http.HttpHandler
import lagoonrudder.http.NO_BYTES
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.MalformedMessage
import lagoonrudder.wire.messages.ManifestMessage
import lagoonrudder.wire.messages.configurationInForce
import lagoonrudder.wire.messages.declared
import lagoonrudder.wire.messages.decodeMessage
import lagoonrudder.wire.messages.encodeMessage
import lagoonrudder.wire.messages.load
import lagoonrudder.wire.messages.position
import lagoonrudder.wire.messages.storeContact
import lagoonrudder.wire.messages.storeContactAge
import lagoonrudder.wire.messages.storeSince
import lagoonrudder.wire.messages.toConfigurationNumber
import lagoonrudder.wire.messages.toDemandMessages
import lagoonrudder.wire.messages.toGossipSlot
import lagoonrudder.wire.messages.toHolding
import lagoonrudder.wire.messages.toMessage
import lagoonrudder.wire.messages.toMessages
import lagoonrudder.wire.messages.toMilliseconds
import lagoonrudder.wire.messages.toPeer
import lagoonrudder.wire.messages.toReport
import lagoonrudder.wire.messages.upToDateAge

class PeerEndpoint(
    private val core: DirectCore,
    private val chunks: ChunkCache,
    private val gossip: GossipLoop,
    private val onSlotChanged: () -> Unit,
) : HttpHandler {
    private val encoder = ItemEncoder()

    override suspend fun handle(exchange: HttpExchange) {
        val segments = PeerPaths.segmentsOf(exchange.request.target)
        val path = PeerPaths.pathOf(segments)
        when {
            path == PeerPaths.GOSSIP -> respondToGossip(exchange)
            path == PeerPaths.MANIFEST && segments.size in MANIFEST_PATH_SEGMENTS -> manifest(exchange, segments)
            path == PeerPaths.CHUNK && segments.size == CHUNK_PATH_SEGMENTS -> chunk(exchange, segments)
            else -> exchange.respond(NOT_FOUND, emptyList(), NO_BYTES)
        }
    }

    private suspend fun respondToGossip(exchange: HttpExchange) {
        val message =
            try {
                decodeMessage(GossipMessage.serializer(), exchange.request.body)
            } catch (malformed: MalformedMessage) {
                core.log.warning("gossip-malformed", "detail" to malformed.message)
                exchange.respond(BAD_REQUEST, emptyList(), NO_BYTES)
                return
            }
        val (reply, items, knowsLess) =
            core.thread.decide {
                val items = if (message.itemsRequested) core.storeView.itemsSince(message.position, message.configurationInForce) else null
                Triple(replyTo(message, items), items?.items.orEmpty(), knowsLessThanSender(message))
            }
        val peer = message.self.toPeer()
        if (knowsLess) gossip.catchUp(peer)
        val encoded = items.map { encoder.encode(it, peer.role, message.deflatedAccepted) }
        exchange.respond(OK, emptyList(), encodeMessage(GossipReply.serializer(), reply.copy(items = encoded)))
    }

    /** Whether the sender knows of later changes, of a longer contact with the store, or how new its state is. Runs on the control thread. */
    private fun knowsLessThanSender(message: GossipMessage): Boolean {
        val now = core.clock.elapsed()
        val since = message.storeSince(now)
        val canConfirm = !core.storeView.confirmed && message.upToDateAge != null
        val isOutdated = core.storeView.isOutdatedBy(message.position, message.configurationInForce)
        return isOutdated || canConfirm || (since != null && core.storeView.isGraceRefutedBy(since, now))
    }

    /** Returns the reply to [message] but for [items]. Runs on the control thread. */
    private fun replyTo(
        message: GossipMessage,
        items: StoreItems?,
    ): GossipReply {
        val now = core.clock.elapsed()
        val peer = message.self.toPeer()
        core.peers.onGossipReceived(peer, message.load, message.storeContactAge, now)
        core.holdings.onHeard(peer, message.holdings.mapNotNull { it.toHolding() }, now)
        // A daemon that has just started has lost what it was told.
        if (message.position == StorePosition.NONE) core.holdings.onForgotten(peer.daemon)
        message.storeContact(now)?.let { core.storeView.onStoreHeard(it) }
        core.storeView.versions.onTold(message.declared(now), askedAt = now)
        val slot = message.slot?.toGossipSlot()
        if (slot != null && core.slots.onGossipReceived(slot, now)) {
            core.log.info(
                "slot-heard",
                "back-end" to slot.backEnd,
                "number" to slot.held?.number?.number,
                "closed" to slot.closed,
                "peer" to message.self.daemon,
            )
            onSlotChanged()
        }
        message.evidence?.let { core.suspicions.onGossipReceived(it.toReport(), now) }
        val needsEvidence = peer.role == DaemonRole.ENTRY && message.evidenceDigest != core.suspicions.digest
        val load = gossip.loadFor(peer, now)
        val contact = core.contactToTell()
        val settled = core.storeView.settledPosition
        return GossipReply(
            self = core.self.toMessage(),
            at = settled.revision.number,
            era = settled.era.number,
            loads = load.inFlight.toMessages(),
            loadDaemons = load.daemons,
            storeContactMilliseconds = core.storeReader.contactAge(now).toMilliseconds(),
            livePeers = if (message.peersRequested) core.peers.livePeers(now).map { it.toMessage() } else emptyList(),
            itemsComplete = items?.isComplete ?: false,
            evidenceDigest = core.suspicions.digest,
            evidence = if (needsEvidence) core.suspicions.report(now).toMessage() else null,
            storeHeardMilliseconds = contact?.let { now - it.until }.toMilliseconds(),
            storeSinceMilliseconds = contact?.let { now - it.since }.toMilliseconds(),
            upToDateMilliseconds = core.upToDateAgeToTell().toMilliseconds(),
            declarations = core.versionsToTell().map { it.toMessage(now) },
            demand = load.demand.toDemandMessages(),
            holdings = core.holdings.toTell(peer, now).map { it.toMessage() },
            configuration =
                core.storeView.serving
                    ?.revision
                    .toConfigurationNumber(),
        )
    }

    private suspend fun manifest(
        exchange: HttpExchange,
        segments: List<String>,
    ) {
        val number = segments[3].toLongOrNull()?.takeIf { it > 0 }?.let { WeightNumber(it) }
        val doubted = segments.getOrNull(4)?.let { Digest.parse(it) }
        when (val manifest = chunks.manifest(ModelId(segments[2]), number, doubted)) {
            is Either.Right -> exchange.respond(OK, emptyList(), encodeMessage(ManifestMessage.serializer(), manifest.value.toMessage()))
            is Either.Left -> respondUnavailable(exchange, manifest.value)
        }
    }

    private suspend fun chunk(
        exchange: HttpExchange,
        segments: List<String>,
    ) {
        val number = segments[3].toLongOrNull()
        val index = segments[4].toIntOrNull()
        if (number == null || index == null) {
            exchange.respond(BAD_REQUEST, emptyList(), NO_BYTES)
            return
        }
        when (val chunk = chunks.chunk(ModelId(segments[2]), WeightNumber(number), index)) {
            is Either.Right -> exchange.respond(OK, emptyList(), chunk.value)
            is Either.Left ->
                if (chunk.value is Failure.NotHeld) {
                    exchange.respond(NOT_FOUND, emptyList(), NO_BYTES)
                } else {
                    respondUnavailable(exchange, chunk.value)
                }
        }
    }

    private suspend fun respondUnavailable(
        exchange: HttpExchange,
        failure: Failure,
    ) = exchange.respond(UNAVAILABLE, emptyList(), failure.describe().encodeToByteArray())

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503

        /** The last one, the fingerprint of a doubted copy, may be absent. */
        val MANIFEST_PATH_SEGMENTS = 4..5
        const val CHUNK_PATH_SEGMENTS = 5
    }
}

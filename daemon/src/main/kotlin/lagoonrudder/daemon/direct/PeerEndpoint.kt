/**
 * What an entry daemon answers to its peers.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import lagoonrudder.http.HttpExchange
import lagoonrudder.http.HttpHandler
import lagoonrudder.http.NO_BYTES
import lagoonrudder.model.Failure
import lagoonrudder.model.ModelId
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import lagoonrudder.wire.messages.MalformedMessage
import lagoonrudder.wire.messages.ManifestMessage
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.decodeMessage
import lagoonrudder.wire.messages.encodeMessage
import lagoonrudder.wire.messages.toLoads
import lagoonrudder.wire.messages.toMessage
import lagoonrudder.wire.messages.toMessages
import lagoonrudder.wire.messages.toPeer
import lagoonrudder.wire.messages.toSlotWord

class PeerEndpoint(
    private val core: DirectCore,
    private val pieces: ChunkCache,
    private val loads: () -> Map<TargetId, Int>,
    private val slotChanged: () -> Unit,
) : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        val parts =
            exchange.request.target
                .split('/')
                .drop(1)
        val call = "/" + parts.take(2).joinToString("/")
        when {
            call == PeerPaths.WORD -> word(exchange)
            call == PeerPaths.MANIFEST && parts.size == MANIFEST_PARTS -> manifest(exchange, parts)
            call == PeerPaths.PIECE && parts.size == PIECE_PARTS -> piece(exchange, parts)
            else -> exchange.respond(NOT_FOUND, emptyList(), NO_BYTES)
        }
    }

    private suspend fun word(exchange: HttpExchange) {
        val message =
            try {
                decodeMessage(GossipMessage.serializer(), exchange.request.body)
            } catch (malformed: MalformedMessage) {
                core.log.warning("word-malformed", "detail" to malformed.message)
                exchange.respond(BAD_REQUEST, emptyList(), NO_BYTES)
                return
            }
        val reply = core.thread.decide { answer(message) }
        exchange.respond(OK, emptyList(), encodeMessage(GossipReply.serializer(), reply))
    }

    private fun answer(message: GossipMessage): GossipReply {
        val now = core.clock.elapsed()
        core.peers.onGossipReceived(message.self.toPeer(), message.loads.toLoads(), now)
        val word = message.slot?.toSlotWord()
        if (word != null && core.slots.onGossipReceived(word, now)) {
            core.log.info(
                "slot-heard",
                "back-end" to word.backEnd,
                "number" to word.held?.number?.number,
                "closed" to word.closed,
                "peer" to message.self.daemon,
            )
            slotChanged()
        }
        return GossipReply(
            self = core.self.toMessage(),
            at = core.storeView.settledRevision,
            loads = loads().toMessages(),
            livePeers = if (message.peersRequested) core.peers.livePeers(now).map { it.toMessage() } else emptyList(),
            items = if (message.itemsRequested) core.storeView.changesSince(message.at).map { it.toMessage() } else emptyList(),
        )
    }

    private suspend fun manifest(
        exchange: HttpExchange,
        parts: List<String>,
    ) {
        val number = parts[3].toLongOrNull()?.takeIf { it > 0 }?.let { WeightNumber(it) }
        when (val manifest = pieces.manifest(ModelId(parts[2]), number)) {
            is Either.Right -> exchange.respond(OK, emptyList(), encodeMessage(ManifestMessage.serializer(), manifest.value.toMessage()))
            is Either.Left -> unavailable(exchange, manifest.value)
        }
    }

    private suspend fun piece(
        exchange: HttpExchange,
        parts: List<String>,
    ) {
        val number = parts[3].toLongOrNull()
        val index = parts[4].toIntOrNull()
        if (number == null || index == null) {
            exchange.respond(BAD_REQUEST, emptyList(), NO_BYTES)
            return
        }
        when (val piece = pieces.piece(ModelId(parts[2]), WeightNumber(number), index)) {
            is Either.Right -> exchange.respond(OK, emptyList(), piece.value)
            is Either.Left -> unavailable(exchange, piece.value)
        }
    }

    private suspend fun unavailable(
        exchange: HttpExchange,
        failure: Failure,
    ) = exchange.respond(UNAVAILABLE, emptyList(), failure.describe().encodeToByteArray())

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val MANIFEST_PARTS = 4
        const val PIECE_PARTS = 5
    }
}

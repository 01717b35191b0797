/**
 * Serves the chunks that lie verified in the staging area of the back end beside a target daemon, and their manifest, to peers.
 *
 * The link of a target machine is narrow and the heap of its daemon small, so few chunks are read at a time. A request that finds no
 * place within a moment is refused with 503, which says that the chunk can be had here later; 404 says that it can't.
 */
package lagoonrudder.daemon.direct

import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.http.HttpExchange
import lagoonrudder.http.HttpHandler
import lagoonrudder.http.NO_BYTES
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import lagoonrudder.wire.messages.ManifestMessage
import lagoonrudder.wire.messages.encodeMessage
import lagoonrudder.wire.messages.toMessage
import kotlin.time.Duration.Companion.milliseconds

class StagedChunkEndpoint(
    private val area: StagingArea,
) : HttpHandler {
    private val permits = Semaphore(MAX_CONCURRENT_CHUNKS)

    override suspend fun handle(exchange: HttpExchange) {
        val segments = PeerPaths.segmentsOf(exchange.request.target)
        val path = PeerPaths.pathOf(segments)
        val number = segments.getOrNull(3)?.toLongOrNull()?.let { WeightNumber(it) }
        val index = segments.getOrNull(4)?.toIntOrNull()
        when {
            number == null -> exchange.respond(NOT_FOUND, emptyList(), NO_BYTES)
            path == PeerPaths.MANIFEST -> manifest(exchange, ModelId(segments[2]), number)
            path == PeerPaths.CHUNK && index != null -> chunk(exchange, ModelId(segments[2]), number, index)
            else -> exchange.respond(NOT_FOUND, emptyList(), NO_BYTES)
        }
    }

    private suspend fun manifest(
        exchange: HttpExchange,
        model: ModelId,
        number: WeightNumber,
    ) {
        val manifest = area.manifest?.takeIf { it.model == model && it.number == number }
        if (manifest == null) {
            exchange.respond(NOT_FOUND, emptyList(), NO_BYTES)
        } else {
            exchange.respond(OK, emptyList(), encodeMessage(ManifestMessage.serializer(), manifest.toMessage()))
        }
    }

    private suspend fun chunk(
        exchange: HttpExchange,
        model: ModelId,
        number: WeightNumber,
        index: Int,
    ) {
        if (withTimeoutOrNull(MAX_WAIT) { permits.acquire() } == null) {
            exchange.respond(UNAVAILABLE, emptyList(), NO_BYTES)
            return
        }
        try {
            when (val chunk = area.readIntact(model, number, index)) {
                is StagedChunk.Intact -> exchange.respond(OK, emptyList(), chunk.bytes)
                StagedChunk.Missing -> exchange.respond(NOT_FOUND, emptyList(), NO_BYTES)
                StagedChunk.Unreadable -> exchange.respond(UNAVAILABLE, emptyList(), NO_BYTES)
            }
        } finally {
            permits.release()
        }
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val MAX_CONCURRENT_CHUNKS = 2

        /** The time in which the link carries the chunks of those that were here first, twice. */
        val MAX_WAIT = 200.milliseconds
    }
}

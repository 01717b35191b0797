/**
 * Client for calls from one daemon to another: gossip messages, chunks of weights and their manifests.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.http.HttpClient
import lagoonrudder.http.HttpRequest
import lagoonrudder.http.ResponseLimits
import lagoonrudder.model.Address
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.ModelId
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.model.WeightNumber
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.MalformedMessage
import lagoonrudder.wire.messages.ManifestMessage
import lagoonrudder.wire.messages.decodeMessage
import lagoonrudder.wire.messages.encodeMessage
import lagoonrudder.wire.messages.toManifest
import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Paths on which daemons serve their peers. */
object PeerPaths {
    const val GOSSIP = "/peer/word"
    const val MANIFEST = "/peer/manifest"
    const val CHUNK = "/peer/piece"

    fun segmentsOf(target: String): List<String> = target.split('/').drop(1)

    /** Returns the one of these paths that [segments] begin with, if any. */
    fun pathOf(segments: List<String>): String = "/" + segments.take(2).joinToString("/")
}

class PeerClient(
    private val http: HttpClient,
) {
    /** Calls [onProgress] for each part of the reply. One with items may take longer, as long as it goes on. */
    suspend fun gossip(
        address: Address,
        message: GossipMessage,
        onProgress: () -> Unit = {},
    ): Either<Failure, GossipReply> {
        val request = HttpRequest("POST", PeerPaths.GOSSIP, emptyList(), encodeMessage(GossipMessage.serializer(), message))
        val total = if (message.itemsRequested) MAX_ITEMS_TIME else GOSSIP_TIMEOUT
        val limits = ResponseLimits(first = GOSSIP_TIMEOUT, next = GOSSIP_TIMEOUT, total, MAX_GOSSIP_BYTES)
        return call(address, request, limits, onProgress = onProgress).flatMap { body ->
            decode(address) { decodeMessage(GossipReply.serializer(), body) }
        }
    }

    /**
     * Asks for a manifest. A copy with the fingerprint [doubted] is read again by the peer before it repeats it. [isReported] says that the
     * peer reported to hold the data, so that a response that it has none is a [Failure.Damaged], here as for a chunk.
     */
    suspend fun manifest(
        address: Address,
        model: ModelId,
        number: WeightNumber?,
        doubted: Digest? = null,
        isReported: Boolean = false,
    ): Either<Failure, WeightManifest> {
        val suffix = doubted?.let { "/${it.hexadecimal}" }.orEmpty()
        val request = HttpRequest("GET", "${PeerPaths.MANIFEST}/${model.text}/${number?.number ?: 0}$suffix", emptyList())
        return call(address, request, CHUNK_LIMITS.copy(maxBytes = MAX_MANIFEST_BYTES), isReported).flatMap { body ->
            decode(address) { decodeMessage(ManifestMessage.serializer(), body).toManifest() }
        }
    }

    suspend fun chunk(
        address: Address,
        model: ModelId,
        number: WeightNumber,
        index: Int,
        isReported: Boolean = false,
    ): Either<Failure, ByteArray> =
        call(
            address,
            HttpRequest("GET", "${PeerPaths.CHUNK}/${model.text}/${number.number}/$index", emptyList()),
            CHUNK_LIMITS,
            isReported,
        )

    private suspend fun call(
        address: Address,
        request: HttpRequest,
        limits: ResponseLimits,
        isReported: Boolean = false,
        onProgress: () -> Unit = {},
    ): Either<Failure, ByteArray> {
        val peer = Peer(PeerRole.ENTRY, address.toString())
        val body = ByteArrayOutputStream(0)
        val received =
            http.receive(address, request, peer, limits) { _, bytes ->
                body.write(bytes)
                onProgress()
            }
        val result =
            received.flatMap {
                when {
                    it.status == OK -> body.toByteArray().right()
                    it.status == NOT_FOUND && isReported ->
                        Failure.Damaged(Step.DRAW_CHUNK, peer, "status 404 for what it reported to hold").left()
                    it.status == NOT_FOUND -> Failure.NotHeld(Step.SEND, peer, "status 404, expected 200").left()
                    else -> Failure.Declined(Step.SEND, peer, "status ${it.status}, expected 200").left()
                }
            }
        if (result is Either.Left && result.value is Failure.TimedOut) http.closeIdle(address)
        return result
    }

    private inline fun <T> decode(
        address: Address,
        read: () -> T,
    ): Either<Failure, T> =
        try {
            read().right()
        } catch (malformed: MalformedMessage) {
            Failure.Damaged(Step.SEND, Peer(PeerRole.ENTRY, address.toString()), malformed.message.orEmpty()).left()
        }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404

        /** A reply may hold all items of the store. */
        const val MAX_GOSSIP_BYTES = 4_194_304L
        const val MAX_MANIFEST_BYTES = 262_144L
        const val MAX_CHUNK_BYTES = 1_048_576L
        val GOSSIP_TIMEOUT = 800.milliseconds

        /** 200 kB take 1.5 s on a link between regions that is busy. A reply that takes this long can't be of use any more. */
        val MAX_ITEMS_TIME = 8.seconds

        /** The peer may first have to fetch the chunk from the origin. */
        val CHUNK_TIMEOUT = 3.seconds
        val CHUNK_LIMITS = ResponseLimits(CHUNK_TIMEOUT, CHUNK_TIMEOUT, CHUNK_TIMEOUT, MAX_CHUNK_BYTES)
    }
}

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
import lagoonrudder.http.HttpResponse
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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Paths on which an entry daemon serves its peers. */
object PeerPaths {
    const val GOSSIP = "/peer/word"
    const val MANIFEST = "/peer/manifest"
    const val CHUNK = "/peer/piece"
}

class PeerClient(
    private val http: HttpClient,
) {
    suspend fun gossip(
        address: Address,
        message: GossipMessage,
    ): Either<Failure, GossipReply> {
        val request = HttpRequest("POST", PeerPaths.GOSSIP, emptyList(), encodeMessage(GossipMessage.serializer(), message))
        return call(address, request, GOSSIP_TIMEOUT, MAX_GOSSIP_BYTES).flatMap { response ->
            decode(address) { decodeMessage(GossipReply.serializer(), response.body) }
        }
    }

    /** Asks for a manifest. A copy with the fingerprint [doubted] is read again by the peer before it repeats it. */
    suspend fun manifest(
        address: Address,
        model: ModelId,
        number: WeightNumber?,
        doubted: Digest? = null,
    ): Either<Failure, WeightManifest> {
        val suffix = doubted?.let { "/${it.hexadecimal}" }.orEmpty()
        val request = HttpRequest("GET", "${PeerPaths.MANIFEST}/${model.text}/${number?.number ?: 0}$suffix", emptyList())
        return call(address, request, CHUNK_TIMEOUT, MAX_MANIFEST_BYTES).flatMap { response ->
            decode(address) { decodeMessage(ManifestMessage.serializer(), response.body).toManifest() }
        }
    }

    suspend fun chunk(
        address: Address,
        model: ModelId,
        number: WeightNumber,
        index: Int,
    ): Either<Failure, ByteArray> =
        call(
            address,
            HttpRequest("GET", "${PeerPaths.CHUNK}/${model.text}/${number.number}/$index", emptyList()),
            CHUNK_TIMEOUT,
            MAX_CHUNK_BYTES,
        ).map { it.body }

    private suspend fun call(
        address: Address,
        request: HttpRequest,
        timeout: Duration,
        maxBytes: Int,
    ): Either<Failure, HttpResponse> {
        val peer = Peer(PeerRole.ENTRY, address.toString())
        val result =
            http.exchange(address, request, peer, timeout, maxBytes).flatMap {
                when (it.head.status) {
                    OK -> it.right()
                    NOT_FOUND -> Failure.NotHeld(Step.SEND, peer, "status 404, expected 200").left()
                    else -> Failure.Declined(Step.SEND, peer, "status ${it.head.status}, expected 200").left()
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
        const val MAX_GOSSIP_BYTES = 4_194_304
        const val MAX_MANIFEST_BYTES = 262_144
        const val MAX_CHUNK_BYTES = 1_048_576
        val GOSSIP_TIMEOUT = 800.milliseconds

        /** The peer may first have to fetch the chunk from the origin. */
        val CHUNK_TIMEOUT = 3.seconds
    }
}

/**
 * Calls from one daemon to another: words, pieces of weights and their manifests.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.http.HttpClient
import lagoonrudder.http.HttpRequest
import lagoonrudder.http.HttpResponse
import lagoonrudder.model.Address
import lagoonrudder.model.Failure
import lagoonrudder.model.ModelId
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.model.WeightNumber
import lagoonrudder.wire.messages.MalformedMessage
import lagoonrudder.wire.messages.ManifestMessage
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.decodeMessage
import lagoonrudder.wire.messages.encodeMessage
import lagoonrudder.wire.messages.toManifest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The calls that a daemon answers to its peers. */
object PeerPaths {
    const val WORD = "/peer/word"
    const val MANIFEST = "/peer/manifest"
    const val PIECE = "/peer/piece"
}

class PeerClient(
    private val http: HttpClient,
) {
    suspend fun gossip(
        address: Address,
        message: GossipMessage,
    ): Either<Failure, GossipReply> {
        val request = HttpRequest("POST", PeerPaths.WORD, emptyList(), encodeMessage(GossipMessage.serializer(), message))
        return call(address, request, WORD_LIMIT).flatMap { decoded(address, GossipReply.serializer(), it) }
    }

    suspend fun manifest(
        address: Address,
        model: ModelId,
        number: WeightNumber?,
    ): Either<Failure, WeightManifest> {
        val request = HttpRequest("GET", "${PeerPaths.MANIFEST}/${model.text}/${number?.number ?: 0}", emptyList())
        return call(address, request, PIECE_LIMIT).flatMap { decoded(address, ManifestMessage.serializer(), it) }.map { it.toManifest() }
    }

    suspend fun piece(
        address: Address,
        model: ModelId,
        number: WeightNumber,
        index: Int,
    ): Either<Failure, ByteArray> =
        call(
            address,
            HttpRequest("GET", "${PeerPaths.PIECE}/${model.text}/${number.number}/$index", emptyList()),
            PIECE_LIMIT,
        ).map { it.body }

    private suspend fun call(
        address: Address,
        request: HttpRequest,
        limit: Duration,
    ): Either<Failure, HttpResponse> {
        val peer = Peer(PeerRole.ENTRY, address.toString())
        val result =
            http.exchange(address, request, peer, limit).flatMap {
                if (it.head.status == OK) it.right() else Failure.Declined(Step.SEND, peer, "status ${it.head.status}").left()
            }
        if (result is Either.Left && result.value is Failure.TimedOut) http.closeIdle(address)
        return result
    }

    private fun <T> decoded(
        address: Address,
        serializer: KSerializer<T>,
        response: HttpResponse,
    ): Either<Failure, T> =
        try {
            decodeMessage(serializer, response.body).right()
        } catch (malformed: MalformedMessage) {
            Failure.Damaged(Step.SEND, Peer(PeerRole.ENTRY, address.toString()), malformed.message.orEmpty()).left()
        }

    private companion object {
        const val OK = 200
        val WORD_LIMIT = 800.milliseconds

        /** A piece may wait at the other daemon until the origin has sent it. */
        val PIECE_LIMIT = 3.seconds
    }
}

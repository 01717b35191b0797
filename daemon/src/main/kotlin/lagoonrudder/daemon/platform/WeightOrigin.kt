/**
 * The origin of weights: manifests by digest, and chunks by version and place.
 */
package lagoonrudder.daemon.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import lagoonrudder.model.Address
import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.model.VersionId
import kotlin.time.Duration

class WeightOrigin(
    private val client: HttpClient,
    private val address: Address,
) {
    val peer = Peer(PeerRole.ORIGIN, address.toString())

    /** The bytes of a manifest; the caller verifies them. */
    suspend fun manifest(
        digest: Digest,
        limit: Duration,
    ): Either<Failure, ByteArray> = bytes("manifests/${digest.hexadecimal}", limit)

    /** The bytes of a chunk; the caller verifies them. */
    suspend fun chunk(
        version: VersionId,
        chunk: ChunkIndex,
        limit: Duration,
    ): Either<Failure, ByteArray> = bytes("versions/${version.text}/chunks/${chunk.number}", limit)

    private suspend fun bytes(
        path: String,
        limit: Duration,
    ): Either<Failure, ByteArray> =
        client.read("http://$address/v1/$path", Step.DRAW_CHUNK, peer, limit).flatMap { answer ->
            if (answer.status == OK) answer.bytes.right() else Failure.Declined(Step.DRAW_CHUNK, peer, "status ${answer.status}").left()
        }

    private companion object {
        const val OK = 200
    }
}

/**
 * Client for the origin of weights, which serves manifests by digest, and chunks by version and index.
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

    /** Reads a manifest. The caller must verify its digest. */
    suspend fun manifest(
        digest: Digest,
        timeout: Duration,
    ): Either<Failure, ByteArray> = bytes("manifests/${digest.hexadecimal}", timeout)

    /** Reads a chunk. The caller must verify its digest. */
    suspend fun chunk(
        version: VersionId,
        chunk: ChunkIndex,
        timeout: Duration,
    ): Either<Failure, ByteArray> = bytes("versions/${version.text}/chunks/${chunk.number}", timeout)

    private suspend fun bytes(
        path: String,
        timeout: Duration,
    ): Either<Failure, ByteArray> =
        client.read("http://$address/v1/$path", Step.DRAW_CHUNK, peer, timeout).flatMap { reply ->
            if (reply.status == OK) reply.bytes.right() else Failure.Declined(Step.DRAW_CHUNK, peer, "status ${reply.status}").left()
        }

    private companion object {
        const val OK = 200
    }
}

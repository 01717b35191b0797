/**
 * Fetches manifests and chunks of weights from a list of sources, falling back to the next source on a failure, and
 * verifies chunks against their digests.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.control.direct.WeightSource
import lagoonrudder.model.Failure
import lagoonrudder.model.ModelId
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.digestOf
import lagoonrudder.platform.OriginClient

class WeightFetcher(
    private val core: DirectCore,
    private val peers: PeerClient,
) {
    suspend fun manifest(
        sources: List<WeightSource>,
        model: ModelId,
        number: WeightNumber?,
    ): Either<Failure, WeightManifest> =
        fetchFromFirst(sources, "manifest ${model.text}") { source ->
            when (source) {
                is WeightSource.Entry -> peers.manifest(source.address, model, number)
                is WeightSource.Origin -> OriginClient(core.http, source.address).manifest(model, number)
            }
        }

    suspend fun chunk(
        sources: List<WeightSource>,
        manifest: WeightManifest,
        index: Int,
    ): Either<Failure, ByteArray> =
        fetchFromFirst(sources, "chunk $index of ${manifest.number.number}") { source ->
            val fetched =
                when (source) {
                    is WeightSource.Entry -> peers.chunk(source.address, manifest.model, manifest.number, index)
                    is WeightSource.Origin ->
                        OriginClient(core.http, source.address).chunk(manifest.model, manifest.number, index)
                }
            fetched.flatMap { bytes ->
                val matches = digestOf(bytes) == manifest.digests[index]
                if (matches) {
                    bytes.right()
                } else {
                    Failure
                        .Damaged(
                            Step.VERIFY_CHUNK,
                            peerOf(source),
                            "chunk $index of ${manifest.number.number} does not match its digest",
                        ).left()
                }
            }
        }

    private suspend fun <T> fetchFromFirst(
        sources: List<WeightSource>,
        what: String,
        fetch: suspend (WeightSource) -> Either<Failure, T>,
    ): Either<Failure, T> {
        var failure: Failure = Failure.Unreachable(Step.DRAW_CHUNK, Peer.SELF, "no source for $what")
        for (source in sources) {
            when (val fetched = fetch(source)) {
                is Either.Right -> return fetched
                is Either.Left -> failure = fetched.value
            }
            core.log.failure("draw-failed", failure, "what" to what)
        }
        return failure.left()
    }

    private fun peerOf(source: WeightSource): Peer =
        when (source) {
            is WeightSource.Entry -> Peer(PeerRole.ENTRY, source.address.toString())
            is WeightSource.Origin -> Peer(PeerRole.ORIGIN, source.address.toString())
        }
}

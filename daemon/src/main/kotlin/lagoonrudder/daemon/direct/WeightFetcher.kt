/**
 * Draws manifests and pieces from a list of sources, the next one where one fails, and checks what comes.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import lagoonrudder.control.direct.WeightSource
import lagoonrudder.control.direct.WeightManifest
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
        first(sources, "manifest ${model.text}") { source ->
            when (source) {
                is WeightSource.Entry -> peers.manifest(source.address, model, number)
                is WeightSource.Origin -> OriginClient(core.http, source.address).manifest(model, number)
            }
        }

    suspend fun piece(
        sources: List<WeightSource>,
        manifest: WeightManifest,
        index: Int,
    ): Either<Failure, ByteArray> =
        first(sources, "piece $index of ${manifest.number.number}") { source ->
            val drawn =
                when (source) {
                    is WeightSource.Entry -> peers.piece(source.address, manifest.model, manifest.number, index)
                    is WeightSource.Origin ->
                        OriginClient(core.http, source.address).piece(manifest.model, manifest.number, index)
                }
            drawn.flatMap { bytes ->
                val sound = digestOf(bytes) == manifest.digests[index]
                if (sound) {
                    bytes.right()
                } else {
                    Failure
                        .Damaged(
                            Step.VERIFY_CHUNK,
                            peerOf(source),
                            "piece $index of ${manifest.number.number}",
                        ).left()
                }
            }
        }

    private suspend fun <T> first(
        sources: List<WeightSource>,
        what: String,
        draw: suspend (WeightSource) -> Either<Failure, T>,
    ): Either<Failure, T> {
        var failure: Failure = Failure.Unreachable(Step.DRAW_CHUNK, Peer.SELF, "no source for $what")
        for (source in sources) {
            when (val drawn = draw(source)) {
                is Either.Right -> return drawn
                is Either.Left -> failure = drawn.value
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

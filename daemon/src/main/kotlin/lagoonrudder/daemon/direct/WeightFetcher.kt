/**
 * Fetches manifests and chunks of weights from a list of sources, and verifies chunks against their digests.
 *
 * The next source is asked if one does not answer. A source that answers that it has no data yet is asked again later instead,
 * since it fetches them itself, and a second copy would only take bandwidth from the first.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
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
            val fetched =
                when (source) {
                    is WeightSource.Entry -> peers.manifest(source.address, model, number)
                    is WeightSource.Origin -> OriginClient(core.http, source.address).manifest(model, number)
                }
            fetched.flatMap { manifest ->
                val isExpected = manifest.model == model && (number == null || manifest.number == number)
                val found = "manifest of ${manifest.model.text} ${manifest.number.number}"
                if (isExpected) manifest.right() else damaged(source, "$found, expected ${model.text} ${number?.number}")
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
                    damaged(source, "chunk $index of ${manifest.number.number} does not match its digest")
                }
            }
        }

    private suspend fun <T> fetchFromFirst(
        sources: List<WeightSource>,
        what: String,
        fetch: suspend (WeightSource) -> Either<Failure, T>,
    ): Either<Failure, T> {
        var failure: Failure = Failure.Unreachable(Step.DRAW_CHUNK, Peer.SELF, "no source for $what answers")
        for (source in sources) {
            if (!core.thread.decide { core.weightSources.mayFetch(source, core.clock.elapsed()) }) continue
            val fetched = fetchRecorded(source, fetch)
            when (fetched) {
                is Either.Right -> return fetched
                is Either.Left -> failure = fetched.value
            }
            if (failure is Failure.Declined) return fetched
        }
        return failure.left()
    }

    /** Fetches from [source] and records whether it answered. */
    private suspend fun <T> fetchRecorded(
        source: WeightSource,
        fetch: suspend (WeightSource) -> Either<Failure, T>,
    ): Either<Failure, T> {
        var fetched: Either<Failure, T>? = null
        try {
            return fetch(source).also { fetched = it }
        } finally {
            withContext(NonCancellable) { record(source, fetched) }
        }
    }

    private suspend fun record(
        source: WeightSource,
        fetched: Either<Failure, *>?,
    ) {
        val failure = (fetched as? Either.Left)?.value
        when {
            fetched == null -> core.thread.decide { core.weightSources.onCancelled(source) }
            failure == null || failure is Failure.Declined || failure is Failure.Damaged -> {
                if (failure is Failure.Damaged) core.log.failure("draw-damaged", failure)
                val recovery = core.thread.decide { core.weightSources.onAnswer(source, core.clock.elapsed()) }
                if (recovery != null) {
                    core.log.info(
                        "weight-source-regained",
                        "peer" to peerOf(source),
                        "failed" to recovery.fetches,
                        "away" to recovery.lasted,
                    )
                }
            }
            else -> {
                val isNew = core.thread.decide { core.weightSources.onFailure(source, core.clock.elapsed()) }
                if (isNew) core.log.failure("weight-source-lost", failure)
            }
        }
    }

    private fun damaged(
        source: WeightSource,
        detail: String,
    ) = Failure.Damaged(Step.VERIFY_CHUNK, peerOf(source), detail).left()

    private fun peerOf(source: WeightSource): Peer =
        when (source) {
            is WeightSource.Entry -> Peer(PeerRole.ENTRY, source.address.toString())
            is WeightSource.Origin -> Peer(PeerRole.ORIGIN, source.address.toString())
        }
}

/**
 * Pieces of weights that an entry daemon keeps for the target daemons around it.
 *
 * A piece is drawn once, whoever asks for it and however many do; it is checked against its digest on arrival. The newest
 * versions of each model are kept. Everything runs on the traffic thread.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.flatMap
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import lagoonrudder.control.direct.DeclaredWeights
import lagoonrudder.control.direct.WeightSource
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.model.Failure
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration.Companion.milliseconds

class ChunkCache(
    private val core: DirectCore,
    private val sources: WeightFetcher,
) {
    private data class PieceKey(
        val model: ModelId,
        val number: WeightNumber,
        val index: Int,
    )

    private data class ManifestKey(
        val model: ModelId,
        val number: WeightNumber?,
    )

    private val pieces = mutableMapOf<PieceKey, Deferred<Either<Failure, ByteArray>>>()
    private val manifests = mutableMapOf<ManifestKey, Deferred<Either<Failure, WeightManifest>>>()
    private val drawnAhead = mutableSetOf<Pair<ModelId, WeightNumber>>()
    private val draws = Semaphore(DRAWS_AT_ONCE)

    suspend fun manifest(
        model: ModelId,
        number: WeightNumber?,
    ): Either<Failure, WeightManifest> {
        val key = ManifestKey(model, number)
        val drawing =
            manifests.getOrPut(key) {
                core.scope.async { sources.manifest(above(model, number, MANIFEST), model, number) }
            }
        val drawn = drawing.await()
        if (drawn is Either.Left || number == null) manifests.remove(key, drawing)
        if (drawn is Either.Right) drawAhead(drawn.value)
        return drawn
    }

    /**
     * Draws a version that was just declared, before anybody asks for it: an origin that fails soon after has then given
     * part of it. Goes on until the manifest is there or a newer version is declared.
     */
    suspend fun prefetch(declared: DeclaredWeights) {
        while (core.thread.decide { core.storeView.declared(declared.model) } == declared) {
            if (manifest(declared.model, declared.number).isRight()) return
            delay(PREPARE_PAUSE)
        }
    }

    /** Draws the pieces that this daemon leads before they are asked for; the first call for a version does so. */
    private fun drawAhead(manifest: WeightManifest) {
        val version = manifest.model to manifest.number
        if (!drawnAhead.add(version)) return
        core.scope.launch {
            val led =
                core.thread.decide {
                    manifest.digests.indices.filter { core.staging.isPrimarySource(manifest.model, manifest.number, it, core.clock.elapsed()) }
                }
            core.log.info("drawing-ahead", "number" to manifest.number.number, "pieces" to led.size)
            led.forEach { index -> core.scope.launch { piece(manifest.model, manifest.number, index) } }
        }
    }

    suspend fun piece(
        model: ModelId,
        number: WeightNumber,
        index: Int,
    ): Either<Failure, ByteArray> {
        dropOld(model, number)
        val key = PieceKey(model, number, index)
        val drawing = pieces.getOrPut(key) { core.scope.async { draws.withPermit { draw(model, number, index) } } }
        return drawing.await().also { if (it is Either.Left) pieces.remove(key, drawing) }
    }

    private suspend fun draw(
        model: ModelId,
        number: WeightNumber,
        index: Int,
    ): Either<Failure, ByteArray> =
        manifest(model, number).flatMap { manifest -> sources.piece(above(model, number, index), manifest, index) }

    private suspend fun above(
        model: ModelId,
        number: WeightNumber?,
        index: Int,
    ): List<WeightSource> = core.thread.decide { core.staging.upstreamSources(model, number, index, core.clock.elapsed()) }

    /** Keeps the pieces of the two newest versions of a model. */
    private fun dropOld(
        model: ModelId,
        newest: WeightNumber,
    ) {
        val kept = (pieces.keys.filter { it.model == model }.map { it.number } + newest).distinct().sortedDescending().take(VERSIONS_KEPT)
        pieces.keys.removeIf { it.model == model && it.number !in kept }
    }

    private companion object {
        /** The origin's link is full with a few draws at once. */
        const val DRAWS_AT_ONCE = 4
        const val VERSIONS_KEPT = 2
        const val MANIFEST = -1
        val PREPARE_PAUSE = 500.milliseconds
    }
}

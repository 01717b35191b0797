/**
 * Cache of chunks of weights at an entry daemon, which serves the target daemons of its region.
 *
 * Concurrent requests for a chunk share one fetch, which goes on until the chunk has arrived or its version is evicted, so that
 * the chunks flow as soon as a lost source is back. Each chunk is verified against its digest when it arrives. A manifest that
 * chunks contradict, or that a peer doubts, is read again and replaced by a better one. The newest versions of each model are
 * kept. Fetches of a version that is no longer worth fetching are cancelled. Everything runs on the traffic thread.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.control.direct.WeightSource
import lagoonrudder.control.direct.weights.VersionChoice
import lagoonrudder.control.direct.weights.VersionDecision
import lagoonrudder.control.direct.weights.VersionSupply
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.ModelId
import lagoonrudder.model.Peer
import lagoonrudder.model.Step
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class ChunkCache(
    private val core: DirectCore,
    private val fetcher: WeightFetcher,
) {
    private data class ChunkKey(
        val model: ModelId,
        val number: WeightNumber,
        val index: Int,
    )

    private data class ManifestKey(
        val model: ModelId,
        val number: WeightNumber?,
    )

    private val chunks = mutableMapOf<ChunkKey, Deferred<ByteArray>>()
    private val manifests = mutableMapOf<ManifestKey, Deferred<Either<Failure, WeightManifest>>>()
    private val prefetched = mutableMapOf<Pair<ModelId, WeightNumber>, List<Int>>()
    private val fetchPermits = FetchPermits(MAX_CONCURRENT_FETCHES)
    private val choiceLog = VersionChoiceLog(core)

    /** Older versions that the primary source of a chunk does not fetch any more. */
    private val refused = mutableSetOf<Pair<ModelId, WeightNumber>>()
    private val finishedFirst = mutableMapOf<ModelId, WeightNumber>()

    /** Returns a manifest. The one that is kept is read again first if its fingerprint is [doubted], which a peer has sent. */
    suspend fun manifest(
        model: ModelId,
        number: WeightNumber?,
        doubted: Digest?,
    ): Either<Failure, WeightManifest> =
        manifest(model, number).map { current ->
            if (current.fingerprint != doubted) return@map current
            core.thread.decide { core.manifests.onDoubtOfPeer(current) }
            readAgain(current)
        }

    private suspend fun manifest(
        model: ModelId,
        number: WeightNumber?,
    ): Either<Failure, WeightManifest> {
        val key = ManifestKey(model, number)
        val fetching =
            manifests.getOrPut(key) {
                core.scope.async { fetcher.manifest(upstreamSources(model, number, MANIFEST_INDEX), model, number) }
            }
        val fetched = fetching.await()
        if (fetched is Either.Left || number == null) manifests.remove(key, fetching)
        if (fetched is Either.Right) prefetchOwnChunks(fetched.value)
        return fetched
    }

    /** Reads [doubted] again if it is time to; goes on when the peer that doubts it has closed its connection. */
    private suspend fun readAgain(doubted: WeightManifest): WeightManifest {
        val reading =
            core.scope.async {
                val manifest = fetcher.readAgain(upstreamSources(doubted.model, doubted.number, MANIFEST_INDEX), doubted)
                if (manifest != doubted) manifests[ManifestKey(doubted.model, doubted.number)] = CompletableDeferred(manifest.right())
                manifest
            }
        return reading.await()
    }

    /**
     * Prefetches a version that was just declared, so that part of it is cached if the origin fails soon after. Retries
     * until the manifest has been fetched or a newer version is declared.
     */
    suspend fun prefetch(
        model: ModelId,
        number: WeightNumber,
    ) {
        while (core.thread.decide { core.storeView.versions.newest[model] } == number) {
            if (manifest(model, number).isRight()) return
            delay(RETRY_DELAY)
        }
    }

    /** Prefetches the chunks for which this daemon is the primary source; only the first call for a version has an effect. */
    private suspend fun prefetchOwnChunks(manifest: WeightManifest) {
        val version = manifest.model to manifest.number
        if (version in prefetched || !isWorthFetching(manifest.model, manifest.number)) return
        if (prefetched.putIfAbsent(version, emptyList()) != null) return
        core.scope.launch {
            // Before it knows the others, a daemon that has just started would be the primary source of too many chunks.
            while (core.thread.decide { core.holdings.isCollecting(manifest.model, core.clock.elapsed()) }) delay(RETRY_DELAY)
            val ownChunks =
                core.thread.decide {
                    manifest.digests.indices.filter {
                        core.staging.isPrimarySource(manifest.model, manifest.number, it, core.clock.elapsed())
                    }
                }
            prefetched[version] = ownChunks
            core.log.info("chunk-prefetch-started", "number" to manifest.number.number, "pieces" to ownChunks.size)
            ownChunks.forEach { index -> core.scope.launch { chunk(manifest.model, manifest.number, index) } }
        }
    }

    /** Cancels fetches of versions of [model] that have given way to the newest one. */
    suspend fun cancelUnwanted(model: ModelId) {
        choose(model)
    }

    /**
     * Returns whether to fetch chunks of [number]. While at most one version is declared, others are asked for only by back ends that have
     * yet to load them.
     */
    private suspend fun isWorthFetching(
        model: ModelId,
        number: WeightNumber,
        index: Int? = null,
    ): Boolean = choose(model, index?.let { ChunkKey(model, number, it) })?.isWorthFetching(number) ?: true

    /**
     * Chooses between the versions that this daemon fetches, as if [asked] were one of its chunks, and cancels the fetches of those that
     * give way. Returns null while at most one version is declared.
     */
    private suspend fun choose(
        model: ModelId,
        asked: ChunkKey? = null,
    ): VersionChoice? {
        val lacking = lackingChunks(model, asked)
        val refusedBefore = refused.filter { it.first == model }.map { it.second }.toSet()
        val decided =
            core.thread.decide {
                val declared = core.storeView.versions.declarations(model)
                if (declared.size < 2) return@decide null
                val now = core.clock.elapsed()
                val inProgress = lacking.filter { (number, count) -> count > 0 || number == declared.last().number }
                val supply =
                    VersionSupply(
                        held = oldestHeld(model, now),
                        missing = inProgress.mapValues { it.value * core.staging.chunkSize(model) },
                        copySize = core.staging.ownShare(model, now),
                        rate = core.transferRates.rate(now),
                        refused = refusedBefore,
                    )
                supply to core.staging.chooseVersion(model, supply, now)
            }
        val (supply, choice) = decided ?: return null
        when (val decision = choice.decision) {
            is VersionDecision.FinishFirst -> finishedFirst[model] = decision.number
            is VersionDecision.Fetch, VersionDecision.Nothing -> finishedFirst -= model
        }
        choiceLog.onChoice(model, supply, choice)
        val unwanted =
            chunks.filter { (key, fetching) ->
                key.model == model && !fetching.isCompleted && !choice.isWorthFetching(key.number)
            }
        unwanted.forEach { (key, fetching) ->
            chunks.remove(key)
            fetching.cancel()
        }
        if (unwanted.isNotEmpty()) {
            core.log.info("chunk-fetches-cancelled", "model" to model.text, "numbers" to unwanted.keys.map { it.number.number }.distinct())
        }
        return choice
    }

    /**
     * Returns how many chunks this daemon has yet to fetch of each version: its own and those that peers asked for. It is 0 for the
     * newest version whose own chunks are all there.
     */
    private fun lackingChunks(
        model: ModelId,
        asked: ChunkKey?,
    ): Map<WeightNumber, Int> {
        val own = prefetched.filterKeys { it.first == model }.flatMap { (version, own) -> own.map { ChunkKey(model, version.second, it) } }
        val pending = chunks.filter { (key, fetching) -> key.model == model && !fetching.isCompleted }.keys
        val wanted = (own + pending + listOfNotNull(asked)).toSet()
        val lacking = wanted.filter { chunks[it]?.isCompleted != true }.groupingBy { it.number }.eachCount()
        val newest = prefetched.filter { it.key.first == model && it.value.isNotEmpty() }.keys.maxOfOrNull { it.second } ?: return lacking
        return if (newest in lacking) lacking else lacking + (newest to 0)
    }

    /** Returns the oldest version of [model] that back ends hold. Runs on the control thread. */
    private fun oldestHeld(
        model: ModelId,
        now: Duration,
    ): WeightNumber? =
        core.storeView.backEnds
            .mapNotNull { core.slots.held(it, now) }
            .filter { it.model == model }
            .minOfOrNull { it.number }

    /**
     * Returns a chunk; [Failure.TimedOut] if it has not arrived within [CHUNK_WAIT], in which case it is still being fetched, and
     * [Failure.NotHeld] if it is neither here nor worth fetching.
     */
    suspend fun chunk(
        model: ModelId,
        number: WeightNumber,
        index: Int,
    ): Either<Failure, ByteArray> {
        val key = ChunkKey(model, number, index)
        if (chunks[key]?.isCompleted != true && !isWorthFetching(model, number, index)) return notHeld(key).left()
        evictOldVersions(model, number)
        val fetching = chunks.getOrPut(key) { core.scope.async { fetch(model, number, index) } }
        val chunk =
            try {
                withTimeoutOrNull(CHUNK_WAIT) { fetching.await() }
            } catch (evicted: CancellationException) {
                currentCoroutineContext().ensureActive()
                if (!isWorthFetching(model, number, index)) return notHeld(key).left()
                null
            }
        return chunk?.right() ?: Failure.TimedOut(Step.DRAW_CHUNK, Peer.SELF, CHUNK_WAIT).left()
    }

    private fun notHeld(key: ChunkKey) =
        Failure.NotHeld(Step.DRAW_CHUNK, Peer.SELF, "chunk ${key.index} of ${key.number.number} is not held and not fetched")

    /** The version to finish first goes before all others, and a newer one before an older one. */
    private fun priority(
        model: ModelId,
        number: WeightNumber,
    ): Long = if (finishedFirst[model] == number) Long.MAX_VALUE else number.number

    private suspend fun fetch(
        model: ModelId,
        number: WeightNumber,
        index: Int,
    ): ByteArray {
        val startedAt = core.clock.elapsed()
        while (true) {
            val fetched =
                fetchPermits.withPermit({ priority(model, number) }) {
                    manifest(model, number).flatMap { manifest ->
                        val sources = upstreamSources(model, number, index, waited = core.clock.elapsed() - startedAt)
                        fetcher.chunk(sources, manifest, index).onLeft { readAgain(manifest) }
                    }
                }
            if (fetched is Either.Right) {
                core.thread.decide { core.holdings.onOwnChunk(model, number, index) }
                return fetched.value
            }
            if (fetched.leftOrNull() is Failure.NotHeld) refused += model to number
            choose(model)
            delay(core.thread.decide { core.manifests.chunkPause(model, number, index) })
        }
    }

    private suspend fun upstreamSources(
        model: ModelId,
        number: WeightNumber?,
        index: Int,
        waited: Duration = Duration.ZERO,
    ): List<WeightSource> = core.thread.decide { core.staging.upstreamSources(model, number, index, core.clock.elapsed(), waited) }

    /** Evicts all but the two newest versions of a model. */
    private suspend fun evictOldVersions(
        model: ModelId,
        newest: WeightNumber,
    ) {
        val retained =
            (chunks.keys.filter { it.model == model }.map { it.number } + newest).distinct().sortedDescending().take(RETAINED_VERSIONS)
        val evicted = chunks.keys.filter { it.model == model && it.number !in retained }
        evicted.forEach { chunks.remove(it)?.cancel() }
        if (evicted.isEmpty()) return
        core.thread.decide { evicted.map { it.number }.distinct().forEach { core.holdings.onOwnEvicted(model, it) } }
    }

    private companion object {
        /** A few concurrent fetches saturate the link of the origin. */
        const val MAX_CONCURRENT_FETCHES = 4
        const val RETAINED_VERSIONS = 2
        const val MANIFEST_INDEX = -1
        val RETRY_DELAY = 60.milliseconds

        /** How long a request for a chunk that is still being fetched is held, so that it is answered when the chunk arrives. */
        val CHUNK_WAIT = 800.milliseconds
    }
}

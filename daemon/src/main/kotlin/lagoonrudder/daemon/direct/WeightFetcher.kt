/**
 * Fetches manifests and chunks of weights from a list of sources, verifies chunks against their digests, and reads a manifest
 * again that chunks contradict.
 *
 * The next source is asked if one does not answer. A source that answers that it has no data yet is asked again later instead,
 * since it fetches them itself, and a second copy would only take bandwidth from the first. A holder that does not deliver a chunk is
 * forgotten for it; a target daemon that holds it but is busy is asked again later.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import lagoonrudder.control.direct.ManifestReading
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.control.direct.WeightSource
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.ModelId
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.digestOf
import lagoonrudder.platform.OriginClient
import kotlin.time.Duration

class WeightFetcher(
    private val core: DirectCore,
    private val peers: PeerClient,
) {
    private val sourceLog = ChunkSourceLog(core.log)

    suspend fun manifest(
        sources: List<WeightSource>,
        model: ModelId,
        number: WeightNumber?,
    ): Either<Failure, WeightManifest> {
        if (!core.thread.decide { core.manifests.mayRead(model, number, core.clock.elapsed()) }) {
            return Failure.Declined(Step.DRAW_CHUNK, Peer.SELF, "the manifest of ${model.text} was unusable just before").left()
        }
        val fetched = fetchFromFirst(sources, "manifest ${model.text}") { fetchManifest(it, model, number, doubted = null) }
        core.thread.decide {
            when {
                fetched is Either.Right -> core.manifests.onUsable(model, number)
                fetched.leftOrNull() is Failure.Damaged -> core.manifests.onUnusable(model, number, core.clock.elapsed())
            }
        }
        return fetched
    }

    /**
     * Reads [doubted] again if it is time to, from the first of [sources] that does not repeat it. Returns the manifest to use from
     * now on, which is [doubted] unless a better one was found.
     */
    suspend fun readAgain(
        sources: List<WeightSource>,
        doubted: WeightManifest,
    ): WeightManifest {
        if (!core.thread.decide { core.manifests.beginReadAgain(doubted, core.clock.elapsed()) }) return doubted
        var repeated: WeightManifest? = null
        val fetched =
            fetchFromFirst(sources, "manifest ${doubted.model.text}") { source ->
                fetchManifest(source, doubted.model, doubted.number, doubted.fingerprint).flatMap { manifest ->
                    if (manifest == doubted) {
                        repeated = manifest
                        damaged(source, "the manifest of ${manifest.number.number} is the doubted one")
                    } else {
                        manifest.right()
                    }
                }
            }
        val found = fetched.getOrNull() ?: repeated ?: return doubted
        val reading = core.thread.decide { core.manifests.onReadAgain(doubted, found) }
        core.log.info(
            "manifest-read-again",
            "model" to doubted.model.text,
            "number" to doubted.number.number,
            "outcome" to outcomeOf(reading),
        )
        return if (reading is ManifestReading.Replaced) reading.manifest else doubted
    }

    private fun outcomeOf(reading: ManifestReading): String =
        when (reading) {
            is ManifestReading.Replaced -> "replaced"
            ManifestReading.Confirmed -> "confirmed"
            ManifestReading.Worse -> "worse"
        }

    private suspend fun fetchManifest(
        source: WeightSource,
        model: ModelId,
        number: WeightNumber?,
        doubted: Digest?,
    ): Either<Failure, WeightManifest> {
        val fetched =
            when (source) {
                is WeightSource.Entry -> peers.manifest(source.address, model, number, doubted)
                is WeightSource.Holder -> peers.manifest(source.address, model, number, doubted, isReported = true)
                is WeightSource.Origin -> OriginClient(core.http, source.address).manifest(model, number)
            }
        return fetched.flatMap { manifest ->
            val mismatch = core.thread.decide { core.staging.mismatch(manifest, model, number) }
            if (mismatch == null) manifest.right() else damaged(source, mismatch)
        }
    }

    /** Fetches a chunk. The digest of each copy that arrives is evidence for or against [manifest]. */
    suspend fun chunk(
        sources: List<WeightSource>,
        manifest: WeightManifest,
        index: Int,
    ): Either<Failure, ByteArray> =
        fetchFromFirst(sources, "chunk $index of ${manifest.number.number}", ::isVerifiedBySource) { source ->
            val startedAt = core.clock.elapsed()
            val fetched =
                when (source) {
                    is WeightSource.Entry -> peers.chunk(source.address, manifest.model, manifest.number, index)
                    is WeightSource.Holder ->
                        peers.chunk(source.address, manifest.model, manifest.number, index, isReported = true)
                    is WeightSource.Origin ->
                        OriginClient(core.http, source.address).chunk(manifest.model, manifest.number, index)
                }
            core.thread.decide { observeRate(fetched, startedAt) }
            val verified =
                fetched.flatMap { bytes ->
                    val digest = digestOf(bytes)
                    core.thread.decide { core.manifests.onChunk(manifest, index, digest) }
                    if (digest == manifest.digests[index]) {
                        bytes.right()
                    } else {
                        damaged(source, "chunk $index of ${manifest.number.number} does not match its digest")
                    }
                }
            if (verified.isRight()) sourceLog.onFetched(manifest, source)
            if (source is WeightSource.Holder && verified.leftOrNull() is Failure.Damaged) {
                core.thread.decide { core.holdings.onRefuted(source.daemon, manifest.model, manifest.number, index) }
            }
            verified
        }

    /** Runs on the control thread. */
    private fun observeRate(
        fetched: Either<Failure, ByteArray>,
        startedAt: Duration,
    ) {
        val now = core.clock.elapsed()
        when (fetched) {
            is Either.Right -> core.transferRates.onTransferred(fetched.value.size, startedAt, now)
            is Either.Left -> if (fetched.value !is Failure.NotHeld) core.transferRates.onFailed(now)
        }
    }

    /** Whether [source] has verified what did not match here, so that other sources would send the same. */
    private fun isVerifiedBySource(
        source: WeightSource,
        failure: Failure,
    ): Boolean =
        when (source) {
            is WeightSource.Entry -> failure is Failure.Damaged
            is WeightSource.Holder -> false
            is WeightSource.Origin -> false
        }

    private suspend fun <T> fetchFromFirst(
        sources: List<WeightSource>,
        what: String,
        isFinal: (WeightSource, Failure) -> Boolean = { _, _ -> false },
        fetch: suspend (WeightSource) -> Either<Failure, T>,
    ): Either<Failure, T> {
        var failure: Failure = Failure.Unreachable(Step.DRAW_CHUNK, Peer.SELF, "no source for $what answers")
        var isHolderBusy = false
        for (source in sources) {
            // A chunk that a target daemon holds is had from it soon, without using the link of the origin.
            if (isHolderBusy && source !is WeightSource.Holder) break
            // A version that peers do not fetch any more must not be fetched from the origin by each of them.
            if (failure is Failure.NotHeld && source is WeightSource.Origin) continue
            if (!core.thread.decide { core.weightSources.mayFetch(source, core.clock.elapsed()) }) continue
            val fetched = fetchRecorded(source, fetch)
            when (fetched) {
                is Either.Right -> return fetched
                is Either.Left -> failure = fetched.value
            }
            when (source) {
                is WeightSource.Holder -> isHolderBusy = isHolderBusy || (failure is Failure.Declined && source.kind.isTarget)
                is WeightSource.Entry, is WeightSource.Origin ->
                    if (failure is Failure.Declined || isFinal(source, failure)) return fetched
            }
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
            failure == null || failure is Failure.Declined || failure is Failure.NotHeld || failure is Failure.Damaged -> {
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
            is WeightSource.Holder -> Peer(if (source.kind.isTarget) PeerRole.TARGET else PeerRole.ENTRY, source.address.toString())
            is WeightSource.Origin -> Peer(PeerRole.ORIGIN, source.address.toString())
        }
}

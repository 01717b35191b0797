/**
 * Fetches the chunks of the version that this target should serve, delivers them to the engine, and serves them to peers.
 */
package lagoonrudder.daemon.target

import arrow.core.Either
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.ChunkDecision
import lagoonrudder.control.ChunkSource
import lagoonrudder.control.ChunkSourcePlan
import lagoonrudder.control.FetchDecision
import lagoonrudder.control.FetchResult
import lagoonrudder.daemon.ChunkService
import lagoonrudder.daemon.DaemonCore
import lagoonrudder.daemon.platform.WeightOrigin
import lagoonrudder.model.Address
import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.model.VersionId
import lagoonrudder.model.digestOf
import lagoonrudder.traffic.target.LocalBackEnd
import lagoonrudder.traffic.target.TargetControl
import lagoonrudder.wire.messages.ChunkMessage
import lagoonrudder.wire.messages.ChunkReply
import lagoonrudder.wire.messages.ChunkState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WeightDistributionLoop(
    private val core: DaemonCore,
    private val control: TargetControl,
    private val backEnd: LocalBackEnd,
    private val origin: WeightOrigin,
    private val onComplete: () -> Unit,
) : ChunkService {
    private val wakeSignal = Channel<Unit>(Channel.CONFLATED)
    private val arrivals = MutableStateFlow(0L)

    /** Chunks of the version being fetched that the engine has. Accessed on the control thread only. */
    private val deliveredChunks = mutableSetOf<ChunkIndex>()
    private var currentVersion: OperatorObject.Version? = null
    private var manifest: ByteArray? = null

    fun start() {
        core.scope.launch { runLoop() }
    }

    /** Updates the fetch plan after the wanted version or the holders may have changed. Runs on the control thread. */
    fun onConfigurationChanged() {
        control.weights.updateHolders(control.holders())
        wakeSignal.trySend(Unit)
    }

    /** Whether the engine has every chunk of the wanted version. Runs on the control thread. */
    fun isComplete(): Boolean {
        val wanted = control.wantedVersion() ?: return false
        return currentVersion == wanted && control.weights.progress()?.complete == true && deliveredChunks.size == wanted.chunkCount
    }

    /** Resets the progress after a restart of the engine, which then has no chunks. Runs on the control thread. */
    fun onEngineRestarted() {
        deliveredChunks.clear()
        control.weights.onEngineReset()
        wakeSignal.trySend(Unit)
    }

    override suspend fun chunk(message: ChunkMessage): ChunkReply {
        val version = VersionId(message.version)
        val chunk = ChunkIndex(message.chunk)
        val bytes = findChunk(version, chunk) ?: withTimeoutOrNull(PEER_REQUEST_WAIT) { awaitChunk(version, chunk) }
        if (bytes != null) return ChunkReply(ChunkState.HELD, bytes)
        val willHold = core.thread.decide { willHoldLater(version) }
        return ChunkReply(if (willHold) ChunkState.NOT_YET else ChunkState.NOT_HERE)
    }

    private suspend fun awaitChunk(
        version: VersionId,
        chunk: ChunkIndex,
    ): ByteArray? {
        while (true) {
            val seenArrivals = arrivals.value
            findChunk(version, chunk)?.let { return it }
            val isUnobtainable = core.thread.decide { control.weights.isFetching(version) && !willHoldLater(version) }
            if (isUnobtainable) return null
            arrivals.first { it != seenArrivals }
        }
    }

    private suspend fun findChunk(
        version: VersionId,
        chunk: ChunkIndex,
    ): ByteArray? =
        core.thread.decide {
            if (chunk == MANIFEST_INDEX) manifest?.takeIf { currentVersion?.id == version } else control.weights.heldChunk(version, chunk)
        }

    private fun willHoldLater(version: VersionId): Boolean {
        val progress = control.weights.progress()
        return control.wantedVersion()?.id == version && progress?.complete != true
    }

    private suspend fun runLoop() {
        while (core.scope.isActive) {
            val wanted = core.thread.decide { control.wantedVersion() }
            if (wanted == null) dropVersion() else fetchNext(wanted)
        }
    }

    private suspend fun dropVersion() {
        core.thread.decide {
            currentVersion = null
            control.weights.drop()
        }
        wakeSignal.receive()
    }

    private suspend fun fetchNext(wanted: OperatorObject.Version) {
        if (!prepare(wanted)) return awaitWakeUp(MANIFEST_RETRY_DELAY)
        val now = core.clock.elapsed()
        when (val decision = core.thread.decide { control.weights.next(now) }) {
            is FetchDecision.Fetch -> core.scope.launch { fetch(decision, wanted) }
            is FetchDecision.Wait -> awaitWakeUp((decision.until - now).coerceIn(MIN_WAIT, MAX_WAIT))
            FetchDecision.Busy, FetchDecision.Complete -> wakeSignal.receive()
        }
    }

    /** Waits for a wake-up signal, for [timeout] at most. */
    private suspend fun awaitWakeUp(timeout: Duration) {
        withTimeoutOrNull(timeout) { wakeSignal.receive() }
    }

    /** Reads the manifest of a newly wanted version; returns false if it is unavailable or malformed. */
    private suspend fun prepare(wanted: OperatorObject.Version): Boolean {
        if (core.thread.decide { currentVersion == wanted }) return true
        val bytes = readManifest(wanted) ?: return false
        val digests =
            bytes
                .decodeToString()
                .lines()
                .filter { it.isNotBlank() }
                .map(::Digest)
        if (digests.size != wanted.chunkCount) return false.also { logMalformedManifest(wanted, digests.size) }
        core.thread.decide { startFetching(wanted, bytes, digests) }
        core.log.info("weight-fetch-started", "version" to wanted.id.text, "chunks" to digests.size)
        return true
    }

    private fun startFetching(
        wanted: OperatorObject.Version,
        bytes: ByteArray,
        digests: List<Digest>,
    ) {
        currentVersion = wanted
        manifest = bytes
        deliveredChunks.clear()
        control.weights.startFetch(wanted, digests, control.holders())
        arrivals.value++
    }

    private fun logMalformedManifest(
        wanted: OperatorObject.Version,
        found: Int,
    ) = core.log.error("manifest-malformed", "version" to wanted.id.text, "expected-chunks" to wanted.chunkCount, "found" to found)

    private suspend fun readManifest(wanted: OperatorObject.Version): ByteArray? {
        val sources = core.thread.decide { manifestSources(wanted) }
        for (source in sources) {
            val read = readFrom(source, wanted, MANIFEST_INDEX, MANIFEST_TIMEOUT) { origin.manifest(wanted.manifest, MANIFEST_TIMEOUT) }
            when (read) {
                is Either.Left -> core.log.failure("manifest-fetch-failed", read.value, "version" to wanted.id.text)
                is Either.Right -> read.value?.takeIf { digestOf(it) == wanted.manifest }?.let { return it }
            }
        }
        return null
    }

    private fun manifestSources(wanted: OperatorObject.Version): List<ChunkSource> {
        val holders = control.holders()
        val self = holders.firstOrNull { it.daemon == core.settings.name } ?: return listOf(ChunkSource.Origin)
        val region =
            core.configuration.current.objects.regions.values
                .firstOrNull { it.origin }
                ?.id
        return ChunkSourcePlan(core.options.sources, wanted.id, self, holders, region, wanted.chunkCount).sources(MANIFEST_INDEX)
    }

    /** Reads from [source]; returns null in place of bytes when the source does not have them yet. */
    private suspend fun readFrom(
        source: ChunkSource,
        version: OperatorObject.Version,
        chunk: ChunkIndex,
        timeout: Duration,
        fromOrigin: suspend () -> Either<Failure, ByteArray>,
    ): Either<Failure, ByteArray?> =
        when (source) {
            ChunkSource.Origin -> fromOrigin()
            is ChunkSource.Peer -> {
                val address = core.thread.decide { core.membership.instance(source.holder.daemon)?.address }
                if (address == null) Either.Left(notListed(source)) else readFromPeer(address, version, chunk, timeout)
            }
        }

    private suspend fun readFromPeer(
        address: Address,
        version: OperatorObject.Version,
        chunk: ChunkIndex,
        timeout: Duration,
    ): Either<Failure, ByteArray?> {
        val reply = core.rpc.chunk(address, ChunkMessage(version.id.text, chunk.number), timeout)
        return when (reply) {
            is Either.Left -> reply
            is Either.Right ->
                when (reply.value.state) {
                    ChunkState.HELD -> Either.Right(reply.value.bytes)
                    ChunkState.NOT_YET -> Either.Right(null)
                    ChunkState.NOT_HERE -> Either.Left(notHeld(address))
                }
        }
    }

    private suspend fun fetch(
        decision: FetchDecision.Fetch,
        version: OperatorObject.Version,
    ) {
        val timeout = core.settings.limits.weights.fetchTimeout
        val read = readFrom(decision.source, version, decision.chunk, timeout) { origin.chunk(version.id, decision.chunk, timeout) }
        val result = read.fold({ FetchResult.Failed }, { if (it == null) FetchResult.NotYet else FetchResult.Received(digestOf(it), it) })
        val chunkDecision =
            core.thread.decide { control.weights.onFetchEnded(version.id, decision.chunk, decision.source, result, core.clock.elapsed()) }
        read.onLeft { core.log.failure("chunk-fetch-failed", it, "version" to version.id.text, "chunk" to decision.chunk.number) }
        when (chunkDecision) {
            ChunkDecision.Keep -> keep(version, decision.chunk, result)
            ChunkDecision.Damaged -> logDamagedChunk(version, decision)
            ChunkDecision.Discard -> Unit
        }
        wakeSignal.trySend(Unit)
    }

    private suspend fun keep(
        version: OperatorObject.Version,
        chunk: ChunkIndex,
        result: FetchResult,
    ) {
        arrivals.value++
        if (result is FetchResult.Received) deliver(version, chunk, result.bytes)
    }

    /** Delivers a chunk to the engine; retries until the engine accepts it or the version is no longer wanted. */
    private suspend fun deliver(
        version: OperatorObject.Version,
        chunk: ChunkIndex,
        bytes: ByteArray,
    ) {
        while (core.thread.decide { currentVersion == version }) {
            val put = backEnd.putChunk(version.id, chunk, bytes, core.settings.limits.weights.fetchTimeout)
            if (put.isRight()) return onDelivered(version, chunk)
            put.onLeft { core.log.failure("chunk-delivery-failed", it, "version" to version.id.text, "chunk" to chunk.number) }
            delay(DELIVERY_RETRY_DELAY)
        }
    }

    private suspend fun onDelivered(
        version: OperatorObject.Version,
        chunk: ChunkIndex,
    ) {
        val complete =
            core.thread.decide {
                if (currentVersion == version) deliveredChunks += chunk
                isComplete()
            }
        if (!complete) return
        core.log.info("weights-complete", "version" to version.id.text)
        onComplete()
    }

    /** Delivers all chunks that this daemon still holds to an engine that has restarted. */
    suspend fun redeliverHeldChunks() {
        val version = core.thread.decide { currentVersion } ?: return
        val held = core.thread.decide { control.weights.heldChunks() }
        for ((chunk, bytes) in held) deliver(version, chunk, bytes)
    }

    private fun logDamagedChunk(
        version: OperatorObject.Version,
        decision: FetchDecision.Fetch,
    ) {
        core.metrics.count("chunks", "damaged")
        val failure =
            Failure.Damaged(Step.VERIFY_CHUNK, peerOf(decision.source), "chunk ${decision.chunk.number} does not match its digest")
        core.log.failure("chunk-damaged", failure, "version" to version.id.text)
    }

    private fun peerOf(source: ChunkSource): Peer =
        when (source) {
            ChunkSource.Origin -> origin.peer
            is ChunkSource.Peer -> Peer(PeerRole.TARGET, source.holder.daemon.text)
        }

    private fun notListed(source: ChunkSource.Peer) =
        Failure.Unreachable(Step.DRAW_CHUNK, Peer(PeerRole.TARGET, source.holder.daemon.text), "daemon is not listed as an instance")

    private fun notHeld(address: Address) = Failure.Declined(Step.DRAW_CHUNK, Peer(PeerRole.TARGET, address.toString()), "chunk not held")

    private companion object {
        /** Index that denotes the manifest of a version in requests for chunks. */
        val MANIFEST_INDEX = ChunkIndex(-1)
        val PEER_REQUEST_WAIT = 2.seconds
        val MANIFEST_TIMEOUT = 4.seconds
        val MANIFEST_RETRY_DELAY = 500.milliseconds
        val DELIVERY_RETRY_DELAY = 300.milliseconds
        val MIN_WAIT = 5.milliseconds
        val MAX_WAIT = 1.seconds
    }
}

/**
 * Draws the version that this target should serve, hands it to the engine, and passes chunks on to peers.
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
import lagoonrudder.control.FetchDecision
import lagoonrudder.control.FetchResult
import lagoonrudder.control.ChunkSourcePlan
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

    /** The chunks that the engine has of the version being drawn; changed on the control thread only. */
    private val delivered = mutableSetOf<ChunkIndex>()
    private var drawing: OperatorObject.Version? = null
    private var manifest: ByteArray? = null

    fun start() {
        core.scope.launch { loop() }
    }

    /** The wanted version or the holders may have changed; runs on the control thread. */
    fun configured() {
        control.weights.updateHolders(control.holders())
        wakeSignal.trySend(Unit)
    }

    /** Whether the engine has every chunk of the wanted version; runs on the control thread. */
    fun complete(): Boolean {
        val wanted = control.wantedVersion() ?: return false
        return drawing == wanted && control.weights.progress()?.complete == true && delivered.size == wanted.chunkCount
    }

    /** The engine started anew and has nothing; runs on the control thread. */
    fun onEngineRestarted() {
        delivered.clear()
        control.weights.onEngineReset()
        wakeSignal.trySend(Unit)
    }

    override suspend fun chunk(message: ChunkMessage): ChunkReply {
        val version = VersionId(message.version)
        val chunk = ChunkIndex(message.chunk)
        val bytes = find(version, chunk) ?: withTimeoutOrNull(PEER_WAIT) { awaitChunk(version, chunk) }
        if (bytes != null) return ChunkReply(ChunkState.HELD, bytes)
        val later = core.thread.decide { willHave(version) }
        return ChunkReply(if (later) ChunkState.NOT_YET else ChunkState.NOT_HERE)
    }

    private suspend fun awaitChunk(
        version: VersionId,
        chunk: ChunkIndex,
    ): ByteArray? {
        while (true) {
            val seen = arrivals.value
            find(version, chunk)?.let { return it }
            val hopeless = core.thread.decide { control.weights.isFetching(version) && !willHave(version) }
            if (hopeless) return null
            arrivals.first { it != seen }
        }
    }

    private suspend fun find(
        version: VersionId,
        chunk: ChunkIndex,
    ): ByteArray? =
        core.thread.decide {
            if (chunk == MANIFEST) manifest?.takeIf { drawing?.id == version } else control.weights.held(version, chunk)
        }

    private fun willHave(version: VersionId): Boolean {
        val progress = control.weights.progress()
        return control.wantedVersion()?.id == version && progress?.complete != true
    }

    private suspend fun loop() {
        while (core.scope.isActive) {
            val wanted = core.thread.decide { control.wantedVersion() }
            if (wanted == null) drop() else step(wanted)
        }
    }

    private suspend fun drop() {
        core.thread.decide {
            drawing = null
            control.weights.drop()
        }
        wakeSignal.receive()
    }

    private suspend fun step(wanted: OperatorObject.Version) {
        if (!prepare(wanted)) return pause(MANIFEST_PAUSE)
        val now = core.clock.elapsed()
        when (val decision = core.thread.decide { control.weights.next(now) }) {
            is FetchDecision.Fetch -> core.scope.launch { draw(decision, wanted) }
            is FetchDecision.Wait -> pause((decision.until - now).coerceIn(SHORTEST_PAUSE, LONGEST_PAUSE))
            FetchDecision.Busy, FetchDecision.Complete -> wakeSignal.receive()
        }
    }

    /** Waits until something changes, for [limit] at most. */
    private suspend fun pause(limit: Duration) {
        withTimeoutOrNull(limit) { wakeSignal.receive() }
    }

    /** Gets the manifest of a newly wanted version; false while it can't be had. */
    private suspend fun prepare(wanted: OperatorObject.Version): Boolean {
        if (core.thread.decide { drawing == wanted }) return true
        val bytes = readManifest(wanted) ?: return false
        val digests =
            bytes
                .decodeToString()
                .lines()
                .filter { it.isNotBlank() }
                .map(::Digest)
        if (digests.size != wanted.chunkCount) return false.also { malformedManifest(wanted, digests.size) }
        core.thread.decide { begin(wanted, bytes, digests) }
        core.log.info("weights-wanted", "version" to wanted.id.text, "chunks" to digests.size)
        return true
    }

    private fun begin(
        wanted: OperatorObject.Version,
        bytes: ByteArray,
        digests: List<Digest>,
    ) {
        drawing = wanted
        manifest = bytes
        delivered.clear()
        control.weights.startFetch(wanted, digests, control.holders())
        arrivals.value++
    }

    private fun malformedManifest(
        wanted: OperatorObject.Version,
        found: Int,
    ) = core.log.error("manifest-malformed", "version" to wanted.id.text, "expected-chunks" to wanted.chunkCount, "found" to found)

    private suspend fun readManifest(wanted: OperatorObject.Version): ByteArray? {
        val sources = core.thread.decide { manifestSources(wanted) }
        for (source in sources) {
            val read = readFrom(source, wanted, MANIFEST, MANIFEST_LIMIT) { origin.manifest(wanted.manifest, MANIFEST_LIMIT) }
            when (read) {
                is Either.Left -> core.log.failure("manifest-failed", read.value, "version" to wanted.id.text)
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
        return ChunkSourcePlan(core.options.sources, wanted.id, self, holders, region, wanted.chunkCount).sources(MANIFEST)
    }

    /** Reads from [source]; null in place of bytes means that the source does not have them yet. */
    private suspend fun readFrom(
        source: ChunkSource,
        version: OperatorObject.Version,
        chunk: ChunkIndex,
        limit: Duration,
        fromOrigin: suspend () -> Either<Failure, ByteArray>,
    ): Either<Failure, ByteArray?> =
        when (source) {
            ChunkSource.Origin -> fromOrigin()
            is ChunkSource.Peer -> {
                val address = core.thread.decide { core.membership.instance(source.holder.daemon)?.address }
                if (address == null) Either.Left(unlisted(source)) else readFromPeer(address, version, chunk, limit)
            }
        }

    private suspend fun readFromPeer(
        address: Address,
        version: OperatorObject.Version,
        chunk: ChunkIndex,
        limit: Duration,
    ): Either<Failure, ByteArray?> {
        val reply = core.rpc.chunk(address, ChunkMessage(version.id.text, chunk.number), limit)
        return when (reply) {
            is Either.Left -> reply
            is Either.Right ->
                when (reply.value.state) {
                    ChunkState.HELD -> Either.Right(reply.value.bytes)
                    ChunkState.NOT_YET -> Either.Right(null)
                    ChunkState.NOT_HERE -> Either.Left(declined(address))
                }
        }
    }

    private suspend fun draw(
        decision: FetchDecision.Fetch,
        version: OperatorObject.Version,
    ) {
        val limit = core.settings.limits.weights.fetchTimeout
        val read = readFrom(decision.source, version, decision.chunk, limit) { origin.chunk(version.id, decision.chunk, limit) }
        val result = read.fold({ FetchResult.Failed }, { if (it == null) FetchResult.NotYet else FetchResult.Received(digestOf(it), it) })
        val judged =
            core.thread.decide { control.weights.onFetchEnded(version.id, decision.chunk, decision.source, result, core.clock.elapsed()) }
        read.onLeft { core.log.failure("chunk-failed", it, "version" to version.id.text, "chunk" to decision.chunk.number) }
        when (judged) {
            ChunkDecision.Keep -> keep(version, decision.chunk, result)
            ChunkDecision.Damaged -> damaged(version, decision)
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

    /** Hands a chunk to the engine, again while the engine can't take it and the version is still wanted. */
    private suspend fun deliver(
        version: OperatorObject.Version,
        chunk: ChunkIndex,
        bytes: ByteArray,
    ) {
        while (core.thread.decide { drawing == version }) {
            val put = backEnd.putChunk(version.id, chunk, bytes, core.settings.limits.weights.fetchTimeout)
            if (put.isRight()) return noteDelivered(version, chunk)
            put.onLeft { core.log.failure("chunk-not-taken", it, "version" to version.id.text, "chunk" to chunk.number) }
            delay(DELIVER_PAUSE)
        }
    }

    private suspend fun noteDelivered(
        version: OperatorObject.Version,
        chunk: ChunkIndex,
    ) {
        val whole =
            core.thread.decide {
                if (drawing == version) delivered += chunk
                complete()
            }
        if (!whole) return
        core.log.info("weights-complete", "version" to version.id.text)
        onComplete()
    }

    /** Hands what is still held to an engine that started anew. */
    suspend fun redeliverHeldChunks() {
        val version = core.thread.decide { drawing } ?: return
        val held = core.thread.decide { control.weights.heldChunks() }
        for ((chunk, bytes) in held) deliver(version, chunk, bytes)
    }

    private fun damaged(
        version: OperatorObject.Version,
        decision: FetchDecision.Fetch,
    ) {
        core.metrics.count("chunks", "damaged")
        val failure = Failure.Damaged(Step.VERIFY_CHUNK, peerOf(decision.source), "chunk ${decision.chunk.number} doesn't match its digest")
        core.log.failure("chunk-damaged", failure, "version" to version.id.text)
    }

    private fun peerOf(source: ChunkSource): Peer =
        when (source) {
            ChunkSource.Origin -> origin.peer
            is ChunkSource.Peer -> Peer(PeerRole.TARGET, source.holder.daemon.text)
        }

    private fun unlisted(source: ChunkSource.Peer) =
        Failure.Unreachable(Step.DRAW_CHUNK, Peer(PeerRole.TARGET, source.holder.daemon.text), "not listed")

    private fun declined(address: Address) = Failure.Declined(Step.DRAW_CHUNK, Peer(PeerRole.TARGET, address.toString()), "chunk not held")

    private companion object {
        /** Stands for the manifest of a version where a chunk is asked for. */
        val MANIFEST = ChunkIndex(-1)
        val PEER_WAIT = 2.seconds
        val MANIFEST_LIMIT = 4.seconds
        val MANIFEST_PAUSE = 500.milliseconds
        val DELIVER_PAUSE = 300.milliseconds
        val SHORTEST_PAUSE = 5.milliseconds
        val LONGEST_PAUSE = 1.seconds
    }
}

/**
 * A back end in virtual time: an engine that warms up, slows down under load and crashes when overloaded, or a plain service.
 */
package lagoonrudder.standins.virtual

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import lagoonrudder.control.EngineOrder
import lagoonrudder.control.EngineRole
import lagoonrudder.control.EngineState
import lagoonrudder.control.OrderResult
import lagoonrudder.control.RecordedResponse
import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.Clock
import lagoonrudder.model.Failure
import lagoonrudder.model.FencingNumber
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.RequestId
import lagoonrudder.model.Step
import lagoonrudder.model.VersionId
import lagoonrudder.standins.EngineLoad
import lagoonrudder.standins.EngineTraits
import lagoonrudder.standins.TOKEN_LENGTH
import lagoonrudder.standins.tokenAt
import lagoonrudder.traffic.Work
import lagoonrudder.traffic.target.EngineEvent
import lagoonrudder.traffic.target.GenerateRequest
import lagoonrudder.traffic.target.LocalBackEnd
import java.util.zip.CRC32C
import kotlin.math.roundToLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A fake back end that serves [version] with the timing of [traits].
 *
 * Text is a pure function of the version, the prompt and the offset, so that callers can verify it.
 */
class VirtualBackEnd(
    private val traits: EngineTraits,
    private val clock: Clock,
    private var version: VersionId?,
) : LocalBackEnd {
    private val load = EngineLoad(traits)
    private var readyAt = -traits.warmUp
    private var downUntil = -Duration.INFINITE
    private var incarnation = 0

    /** The number of executions of each body of a plain call. */
    val runs = mutableMapOf<String, Int>()
    var crashes = 0
        private set
    var maxConcurrentRequests = 0
        private set

    /** Whether generated responses stall; they continue when it is reset. */
    var stalled = false

    /** Whether the response to the next plain call is lost after the call was executed. */
    var dropNextResponse = false

    /** Restarts the engine cold with [serving]; it is down for the down time of its traits. */
    fun restart(serving: VersionId? = version) {
        incarnation++
        version = serving
        readyAt = clock.elapsed() + traits.downTime
        downUntil = readyAt
    }

    /** Switches to [next] without an order from the target daemon. */
    fun serve(next: VersionId) {
        version = next
    }

    override fun generate(request: GenerateRequest): Flow<Either<Failure, EngineEvent>> =
        flow {
            val servedVersion = version
            if (clock.elapsed() < downUntil) return@flow emit(Failure.Unreachable(Step.RUN, PEER, "engine is down").left())
            if (servedVersion == null) return@flow emit(Failure.Declined(Step.RUN, PEER, "no version loaded").left())
            val tokens = request.work.maximumTokens + request.work.prompt.length / TOKEN_LENGTH + 1L
            admit(tokens)
            try {
                respond(request, servedVersion, incarnation)
            } finally {
                load.release(tokens)
            }
        }

    override suspend fun call(
        work: Work.Plain,
        request: RequestId,
        limit: Duration,
    ): Either<Failure, RecordedResponse> {
        if (clock.elapsed() < downUntil) return Failure.Unreachable(Step.RUN, PEER, "engine is down").left()
        val body = work.body.decodeToString()
        runs.merge(body, 1, Int::plus)
        delay(PLAIN_CALL_TIME)
        if (dropNextResponse) {
            dropNextResponse = false
            return Failure.Interrupted(Step.RUN, PEER, "response lost").left()
        }
        return RecordedResponse(STATUS_OK, "text/plain", "done $body".encodeToByteArray()).right()
    }

    override suspend fun state(limit: Duration): Either<Failure, EngineState> =
        if (clock.elapsed() < downUntil) Failure.Unreachable(Step.ORDER_ENGINE, PEER, "engine is down").left() else engineState().right()

    override suspend fun order(
        order: EngineOrder,
        limit: Duration,
    ): OrderResult = OrderResult.Done

    override suspend fun putChunk(
        version: VersionId,
        chunk: ChunkIndex,
        bytes: ByteArray,
        limit: Duration,
    ): Either<Failure, Unit> = Unit.right()

    fun engineState() = EngineState(IncarnationId("engine-$incarnation"), version, EngineRole.SERVE, FencingNumber(1), false, 0)

    private fun admit(tokens: Long) {
        val survived = load.admit(tokens, uptime())
        maxConcurrentRequests = maxOf(maxConcurrentRequests, load.requests())
        if (survived) return
        crashes++
        restart()
    }

    private suspend fun FlowCollector<Either<Failure, EngineEvent>>.respond(
        request: GenerateRequest,
        servedVersion: VersionId,
        startIncarnation: Int,
    ) {
        emit(EngineEvent.Started(IncarnationId("engine-$startIncarnation"), servedVersion).right())
        delayUnderLoad(traits.firstTokenDelay)
        val checksum = CRC32C()
        var offset = request.offset
        val responseLength = request.work.maximumTokens.toLong() * TOKEN_LENGTH
        while (offset < responseLength) {
            while (stalled) delay(STALL_POLL_INTERVAL)
            if (startIncarnation != incarnation) return emit(Failure.Interrupted(Step.RUN, PEER, "engine crashed").left())
            val token = tokenAt(servedVersion.text, request.work.prompt, offset).encodeToByteArray()
            checksum.update(token)
            emit(EngineEvent.Text(offset, token).right())
            offset += token.size
            delayUnderLoad(traits.tokenInterval)
        }
        emit(EngineEvent.Ended(version ?: servedVersion, responseLength, checksum.value).right())
    }

    private suspend fun delayUnderLoad(unloaded: Duration) =
        delay((unloaded.inWholeMicroseconds * load.slowdown(uptime()) / MICROSECONDS_PER_MILLISECOND).roundToLong().milliseconds)

    private fun uptime() = clock.elapsed() - readyAt

    private companion object {
        val PEER = Peer(PeerRole.ENGINE, "virtual")
        val PLAIN_CALL_TIME = 5.milliseconds
        val STALL_POLL_INTERVAL = 50.milliseconds
        const val STATUS_OK = 200
        const val MICROSECONDS_PER_MILLISECOND = 1_000
    }
}

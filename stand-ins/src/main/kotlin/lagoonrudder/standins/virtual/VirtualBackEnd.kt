/**
 * A back end in virtual time: an engine that warms up, slows down and falls over, or a plain service that counts its runs.
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
import lagoonrudder.control.RecordedAnswer
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
import lagoonrudder.standins.TOKEN_CHARACTERS
import lagoonrudder.standins.textOf
import lagoonrudder.traffic.Work
import lagoonrudder.traffic.target.BackEnd
import lagoonrudder.traffic.target.EngineEvent
import lagoonrudder.traffic.target.GenerateRequest
import java.util.zip.CRC32C
import kotlin.math.roundToLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class VirtualBackEnd(
    private val traits: EngineTraits,
    private val clock: Clock,
    private var version: VersionId?,
) : BackEnd {
    private val load = EngineLoad(traits)
    private var startedAt = -traits.warmUp
    private var downUntil = -Duration.INFINITE
    private var life = 0

    /** How often each body of a plain call ran. */
    val runs = mutableMapOf<String, Int>()
    var falls = 0
        private set
    var maxConcurrentRequests = 0
        private set

    /** Whether answers stop where they are. */
    var stalled = false

    /** Whether the end of the next plain call is lost after it ran. */
    var dropNextResponse = false

    /** Starts anew, cold. */
    fun restart(serving: VersionId? = version) {
        life++
        version = serving
        startedAt = clock.elapsed() + traits.downTime
        downUntil = startedAt
    }

    /** Serves [next] from now on, as if ordered by someone else. */
    fun serve(next: VersionId) {
        version = next
    }

    override fun generate(request: GenerateRequest): Flow<Either<Failure, EngineEvent>> =
        flow {
            val served = version
            if (clock.elapsed() < downUntil) return@flow emit(Failure.Unreachable(Step.RUN, PEER, "down").left())
            if (served == null) return@flow emit(Failure.Declined(Step.RUN, PEER, "nothing loaded").left())
            val tokens = request.work.maximumTokens + request.work.prompt.length / TOKEN_CHARACTERS + 1L
            enter(tokens)
            try {
                answer(request, served, life)
            } finally {
                load.leave(tokens)
            }
        }

    override suspend fun call(
        work: Work.Plain,
        request: RequestId,
        limit: Duration,
    ): Either<Failure, RecordedAnswer> {
        if (clock.elapsed() < downUntil) return Failure.Unreachable(Step.RUN, PEER, "down").left()
        val body = work.body.decodeToString()
        runs.merge(body, 1, Int::plus)
        delay(PLAIN_TIME)
        if (dropNextResponse) {
            dropNextResponse = false
            return Failure.Interrupted(Step.RUN, PEER, "the answer was lost").left()
        }
        return RecordedAnswer(OK, "text/plain", "done $body".encodeToByteArray()).right()
    }

    override suspend fun state(limit: Duration): Either<Failure, EngineState> =
        if (clock.elapsed() < downUntil) Failure.Unreachable(Step.ORDER_ENGINE, PEER, "down").left() else engineState().right()

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

    fun engineState() = EngineState(IncarnationId("life-$life"), version, EngineRole.SERVE, FencingNumber(1), false, 0)

    private fun enter(tokens: Long) {
        val stands = load.enter(tokens, age())
        maxConcurrentRequests = maxOf(maxConcurrentRequests, load.requests())
        if (stands) return
        falls++
        restart()
    }

    private suspend fun FlowCollector<Either<Failure, EngineEvent>>.answer(
        request: GenerateRequest,
        served: VersionId,
        own: Int,
    ) {
        emit(EngineEvent.Started(IncarnationId("life-$own"), served).right())
        pause(traits.firstToken)
        val sum = CRC32C()
        var offset = request.offset
        val length = request.work.maximumTokens.toLong() * TOKEN_CHARACTERS
        while (offset < length) {
            while (stalled) delay(SILENCE_CHECK)
            if (own != life) return emit(Failure.Interrupted(Step.RUN, PEER, "the engine fell over").left())
            val piece = textOf(served.text, request.work.prompt, offset).encodeToByteArray()
            sum.update(piece)
            emit(EngineEvent.Text(offset, piece).right())
            offset += piece.size
            pause(traits.tokenInterval)
        }
        emit(EngineEvent.Ended(version ?: served, length, sum.value).right())
    }

    private suspend fun pause(alone: Duration) =
        delay((alone.inWholeMicroseconds * load.slowness(age()) / MICROSECONDS).roundToLong().milliseconds)

    private fun age() = clock.elapsed() - startedAt

    private companion object {
        val PEER = Peer(PeerRole.ENGINE, "virtual")
        val PLAIN_TIME = 5.milliseconds
        val SILENCE_CHECK = 50.milliseconds
        const val OK = 200
        const val MICROSECONDS = 1_000
    }
}

/**
 * One attempt on its way through the filters of a target daemon, and the back end that it may reach.
 */
package lagoonrudder.traffic.target

import arrow.core.Either
import kotlinx.coroutines.flow.Flow
import lagoonrudder.control.EngineOrder
import lagoonrudder.control.EngineResult
import lagoonrudder.control.EngineState
import lagoonrudder.control.OrderResult
import lagoonrudder.control.RecordedResponse
import lagoonrudder.model.ChunkIndex
import lagoonrudder.model.Failure
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.RequestId
import lagoonrudder.model.VersionId
import lagoonrudder.traffic.RunEvent
import lagoonrudder.traffic.RunRequest
import lagoonrudder.traffic.Work
import kotlin.time.Duration

class TargetCall(
    val run: RunRequest,
    val receivedAt: Duration,
    val emit: suspend (RunEvent) -> Unit,
) {
    /** The version that the engine served when the attempt was let in; null for a plain service. */
    var version: VersionId? = null

    /** When the limits let the attempt in. */
    var admitted: Duration = receivedAt

    /** What the run showed of the back end, for the limits. */
    @Volatile
    var result: EngineResult = EngineResult.Cancelled
}

sealed class EngineEvent {
    data class Started(
        val incarnation: IncarnationId,
        val version: VersionId,
    ) : EngineEvent()

    class Text(
        val offset: Long,
        val data: ByteArray,
    ) : EngineEvent()

    data class Ended(
        val version: VersionId,
        val length: Long,
        val checksum: Long,
    ) : EngineEvent()
}

/** A request for text as the engine gets it. */
data class GenerateRequest(
    val request: RequestId,
    val work: Work.Generate,
    val offset: Long,
    val priority: Int,
)

/** The back end beside a target daemon. Failures say whether anything may have reached it. */
interface LocalBackEnd {
    fun generate(request: GenerateRequest): Flow<Either<Failure, EngineEvent>>

    /** Calls a plain service; [Failure.Declined] is its own proof that it did not run. */
    suspend fun call(
        work: Work.Plain,
        request: RequestId,
        limit: Duration,
    ): Either<Failure, RecordedResponse>

    suspend fun state(limit: Duration): Either<Failure, EngineState>

    suspend fun order(
        order: EngineOrder,
        limit: Duration,
    ): OrderResult

    suspend fun putChunk(
        version: VersionId,
        chunk: ChunkIndex,
        bytes: ByteArray,
        limit: Duration,
    ): Either<Failure, Unit>
}

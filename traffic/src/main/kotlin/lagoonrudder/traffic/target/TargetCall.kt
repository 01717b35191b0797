/**
 * One attempt in the filter chain of a target daemon, and the interface to the daemon's back end.
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
    /** The version that the engine served when the attempt was admitted; null for a plain service. */
    var version: VersionId? = null

    /** The time at which the limits admitted the attempt. */
    var admitted: Duration = receivedAt

    /** The result of the run, for the limits. */
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

/** A text generation request to the engine. */
data class GenerateRequest(
    val request: RequestId,
    val work: Work.Generate,
    val offset: Long,
    val priority: Int,
)

/** The back end of a target daemon. Failures tell whether anything may have reached it. */
interface LocalBackEnd {
    fun generate(request: GenerateRequest): Flow<Either<Failure, EngineEvent>>

    /** Calls a plain service; [Failure.Declined] proves that the request did not run. */
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

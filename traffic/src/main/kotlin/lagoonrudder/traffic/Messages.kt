/**
 * What entry daemons and target daemons say to each other about a request, free of any encoding.
 */
package lagoonrudder.traffic

import arrow.core.Either
import kotlinx.coroutines.flow.Flow
import lagoonrudder.control.IdempotencyDecision
import lagoonrudder.control.TargetLoad
import lagoonrudder.control.SurrenderResult
import lagoonrudder.control.SwitchReport
import lagoonrudder.control.TargetReport
import lagoonrudder.model.CustomerId
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.FleetId
import lagoonrudder.model.Instance
import lagoonrudder.model.Refusal
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.RequestId
import lagoonrudder.model.Revision
import lagoonrudder.model.VersionId
import kotlin.time.Duration

/** The work that a caller asks for. */
sealed class Work {
    /** Text from an engine; the answer may resume at any offset. */
    data class Generate(
        val prompt: String,
        val maximumTokens: Int,
    ) : Work()

    /** A call of a plain service. */
    class Plain(
        val method: String,
        val path: String,
        val contentType: String,
        val body: ByteArray,
    ) : Work()
}

/** The proof that a request which may run at most once may run now. */
data class RunPermit(
    val key: IdempotencyKey,
    val number: Long,
)

/**
 * One attempt to run a request. [versions] are the versions that may answer, [offset] is where the answer must start,
 * [timeLeft] is what is left of the deadline when the message is sent, [tokens] the memory it may need.
 */
data class RunRequest(
    val request: RequestId,
    val attempt: Int,
    val customer: CustomerId,
    val fleet: FleetId,
    val revision: Revision,
    val versions: List<VersionId>,
    val offset: Long,
    val timeLeft: Duration,
    val tokens: Long,
    val priority: Int,
    val permit: RunPermit?,
    val work: Work,
)

/** Part of the answer of one attempt. */
sealed class RunEvent {
    /** The attempt did not run and will not run; [load] is what the target has, when it could say. */
    data class NotRun(
        val refusal: Refusal,
        val load: TargetLoad?,
    ) : RunEvent()

    data class Head(
        val request: RequestId,
        val attempt: Int,
        val version: VersionId?,
        val status: Int,
        val contentType: String,
    ) : RunEvent()

    /** Bytes of the answer at [offset]; [checksum] is that of [data] alone. */
    class Bytes(
        val offset: Long,
        val data: ByteArray,
        val checksum: Long,
    ) : RunEvent()

    /** The mark of a whole answer: its length from offset zero, and the checksum of the bytes of this attempt. */
    data class End(
        val length: Long,
        val checksum: Long,
        val load: TargetLoad?,
    ) : RunEvent()
}

data class ReserveRequest(
    val request: RequestId,
    val fleet: FleetId,
    val key: IdempotencyKey,
    val body: Digest,
    val revision: Revision,
)

/** The new owner of a key asks an earlier one to give it up. */
data class SurrenderRequest(
    val key: IdempotencyKey,
    val revision: Revision,
)

/** A connection to target daemons. Failures say whether anything may have left this process. */
interface TargetClient {
    suspend fun reserve(
        target: Instance,
        request: ReserveRequest,
        limit: Duration,
    ): Either<Failure, IdempotencyDecision>

    /** Runs one attempt; the flow ends after a failure, a refusal or the end mark, and cancelling it cancels the attempt. */
    fun run(
        target: Instance,
        request: RunRequest,
    ): Flow<Either<Failure, RunEvent>>

    /** The reports of [target], one at once and then whenever something changes, at least once a second. */
    fun reports(target: Instance): Flow<Either<Failure, TargetReport>>

    /** How far the switch of [target] is. */
    suspend fun switchReport(
        target: Instance,
        limit: Duration,
    ): Either<Failure, SwitchReport>

    suspend fun surrender(
        target: Instance,
        request: SurrenderRequest,
        limit: Duration,
    ): Either<Failure, SurrenderResult>

    /** Drops the connection to [target]; the next use opens a new one. */
    fun reset(target: Instance)
}

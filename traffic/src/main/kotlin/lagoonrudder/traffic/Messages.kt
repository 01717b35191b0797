/**
 * The messages between entry daemons and target daemons about a request, independent of their encoding.
 */
package lagoonrudder.traffic

import arrow.core.Either
import kotlinx.coroutines.flow.Flow
import lagoonrudder.control.IdempotencyDecision
import lagoonrudder.control.SurrenderResult
import lagoonrudder.control.SwitchReport
import lagoonrudder.control.TargetLoad
import lagoonrudder.control.TargetReport
import lagoonrudder.model.CustomerId
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.FleetId
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.Instance
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import lagoonrudder.model.Revision
import lagoonrudder.model.VersionId
import kotlin.time.Duration

/** The work that a caller requests. */
sealed class Work {
    /** Text generation by an engine; the response may be resumed at any offset. */
    data class Generate(
        val prompt: String,
        val maximumTokens: Int,
    ) : Work()

    /** An HTTP call to a plain service. */
    class Plain(
        val method: String,
        val path: String,
        val contentType: String,
        val body: ByteArray,
    ) : Work()
}

/** The permission to run, now and once, a request that may run at most once. */
data class RunPermit(
    val key: IdempotencyKey,
    val number: Long,
)

/**
 * One attempt to run a request. [versions] are the versions that may serve it, [offset] is the byte at which the response must
 * start, [timeLeft] is the time until the deadline when the message is sent, and [tokens] is the memory that it may need.
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

/** A part of the response to one attempt. */
sealed class RunEvent {
    /** The attempt did not run and will not run; [load] is the load of the target, if known. */
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

    /** Bytes of the response at [offset]; [checksum] covers [data] only. */
    class Bytes(
        val offset: Long,
        val data: ByteArray,
        val checksum: Long,
    ) : RunEvent()

    /** The end mark of a complete response: its length from offset zero, and the checksum of the bytes of this attempt. */
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

/** The request of a key's new owner that a previous owner release the key. */
data class SurrenderRequest(
    val key: IdempotencyKey,
    val revision: Revision,
)

/** A client for target daemons. Failures tell whether anything may have been sent. */
interface TargetClient {
    suspend fun reserve(
        target: Instance,
        request: ReserveRequest,
        limit: Duration,
    ): Either<Failure, IdempotencyDecision>

    /** Runs one attempt; the flow ends after a failure, a refusal or the end mark. Cancelling the flow cancels the attempt. */
    fun run(
        target: Instance,
        request: RunRequest,
    ): Flow<Either<Failure, RunEvent>>

    /** Returns the reports of [target]: one immediately, then one on every change and at least once per second. */
    fun reports(target: Instance): Flow<Either<Failure, TargetReport>>

    /** Returns the progress of the version switch of [target]. */
    suspend fun switchReport(
        target: Instance,
        limit: Duration,
    ): Either<Failure, SwitchReport>

    suspend fun surrender(
        target: Instance,
        request: SurrenderRequest,
        limit: Duration,
    ): Either<Failure, SurrenderResult>

    /** Closes the connection to [target]; the next call opens a new one. */
    fun reset(target: Instance)
}

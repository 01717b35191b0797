/**
 * Requests and responses between callers, entry daemons and back ends in direct mode, independent of their encoding.
 */
package lagoonrudder.traffic.direct

import arrow.core.Either
import lagoonrudder.model.BackEnd
import lagoonrudder.model.BackEndNotice
import lagoonrudder.model.CustomerId
import lagoonrudder.model.EventId
import lagoonrudder.model.Failure
import lagoonrudder.model.HeaderField
import lagoonrudder.model.PromptPartId
import lagoonrudder.model.RequestId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration

/**
 * A caller's request. [timeLeft] is the time for which the caller still waits, [promptTokens] the length of the prompt as
 * stated by the caller; [fields] are forwarded unchanged. [sharedParts] are the parts of the prompt, in order, that other requests
 * may have too.
 */
class DirectRequest(
    val request: RequestId,
    val method: String,
    val host: String,
    val path: String,
    val apiKey: String?,
    val timeLeft: Duration?,
    val resumeAfter: EventId?,
    val promptTokens: Int?,
    val fields: List<HeaderField>,
    val body: ByteArray,
    val sharedParts: List<PromptPartId> = emptyList(),
)

/**
 * One attempt at [backEnd]. A different back end, or one that holds another version than [number], must not run it.
 * [sentBefore] is set if an earlier attempt of the same request went to the same address.
 */
data class DirectAttempt(
    val caller: DirectRequest,
    val backEnd: BackEnd,
    val customer: CustomerId?,
    val priority: Int,
    val timeLeft: Duration,
    val number: WeightNumber?,
    val resumeAfter: EventId?,
    val sentBefore: Boolean,
)

/** What a response proves about whether the back end ran the request. */
enum class Execution {
    /** The response proves that the request did not run and will not run. */
    NOT_RUN,

    /** The response was produced by the back end itself and is forwarded to the caller unchanged. */
    RUN,

    /** The response proves nothing and must not be forwarded. */
    UNPROVEN,
}

/**
 * The head of a back end's response; [fields] are forwarded unchanged. [isEventStream] is set unless the head states another type
 * of body, and [endsWithConnection] if the end of the response shows only in the end of its connection.
 */
class ResponseHead(
    val status: Int,
    val fields: List<HeaderField>,
    val length: Long?,
    val execution: Execution,
    val number: WeightNumber?,
    val isEventStream: Boolean,
    val endsWithConnection: Boolean = false,
    val notices: List<BackEndNotice> = emptyList(),
) {
    val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/** The parts of a back end's response in their order: a head, bytes, an end. [Broken] may replace any of them. */
sealed class ResponseEvent {
    class Head(
        val head: ResponseHead,
    ) : ResponseEvent()

    class Bytes(
        val data: ByteArray,
    ) : ResponseEvent()

    data object End : ResponseEvent()

    /** [disconnected] is set if the back end closed the connection. */
    data class Broken(
        val detail: String,
        val disconnected: Boolean = false,
    ) : ResponseEvent()
}

/** An attempt that was sent and whose response is being read. */
interface OpenAttempt {
    suspend fun next(): ResponseEvent

    /** Cancels the request at the back end by closing the connection, unless the response is complete. */
    fun abandon()
}

/** Sends requests to back ends. */
interface BackEndClient {
    /**
     * Sends an attempt; a failure means that nothing was sent. A connection carries a request at most once, so that a late copy of the
     * response to one attempt is never taken for the response to another. Opening a connection takes time, so [onConnected] decides
     * once there is one what is sent on it, to the same back end, or why nothing is.
     */
    suspend fun send(
        attempt: DirectAttempt,
        onConnected: suspend (DirectAttempt) -> Either<Failure, DirectAttempt>,
    ): Either<Failure, OpenAttempt>

    /** Discards the pooled connections to [backEnd] after one of them timed out, since the others may be dead as well. */
    fun discardIdleConnections(backEnd: BackEnd)
}

/** The response to a caller. */
interface CallerResponse {
    suspend fun respond(
        head: ResponseHead,
        body: ByteArray,
    )

    suspend fun begin(head: ResponseHead)

    /** Sends bytes to the caller; suspends while the caller does not read. */
    suspend fun write(bytes: ByteArray)

    suspend fun end()

    /** Suspends until nothing of the response waits in this process any more. */
    suspend fun awaitTaken()
}

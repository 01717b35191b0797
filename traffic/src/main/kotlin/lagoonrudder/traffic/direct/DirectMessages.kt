/**
 * Requests and answers on the direct way from an entry daemon to a back end, free of any encoding.
 */
package lagoonrudder.traffic.direct

import arrow.core.Either
import lagoonrudder.model.BackEnd
import lagoonrudder.model.CustomerId
import lagoonrudder.model.EventId
import lagoonrudder.model.Failure
import lagoonrudder.model.HeaderField
import lagoonrudder.model.RequestId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration

/**
 * A caller's request. [timeLeft] is what the caller still waits, [promptTokens] what it says of its prompt; [fields] are passed
 * on as they are.
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
)

/** One attempt at [backEnd]. A back end that isn't that one, or holds another version than [number], must not run it. */
class DirectAttempt(
    val caller: DirectRequest,
    val backEnd: BackEnd,
    val customer: CustomerId?,
    val priority: Int,
    val timeLeft: Duration,
    val number: WeightNumber?,
    val resumeAfter: EventId?,
)

/** Whether a back end worked on the request that it answers. */
enum class Execution {
    /** The answer proves that the request did not run and will not run. */
    NOT_RUN,

    /** The answer is the back end's own and goes to the caller unchanged. */
    RUN,

    /** The answer proves nothing and can't be passed on. */
    UNPROVEN,
}

/** The start of a back end's answer; [fields] are passed on as they are. */
class ResponseHead(
    val status: Int,
    val fields: List<HeaderField>,
    val length: Long?,
    val execution: Execution,
    val number: WeightNumber?,
) {
    val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/** What a back end sends, in this order: a head, bytes, an end. [Broken] may take the place of any of them. */
sealed class ResponseEvent {
    class Head(
        val head: ResponseHead,
    ) : ResponseEvent()

    class Bytes(
        val data: ByteArray,
    ) : ResponseEvent()

    data object End : ResponseEvent()

    data class Broken(
        val detail: String,
    ) : ResponseEvent()
}

/** An attempt that was sent. */
interface OpenAttempt {
    suspend fun next(): ResponseEvent

    /** Stops the back end's work by closing the connection, unless the answer has ended. */
    fun abandon()
}

/** Connections to back ends. */
interface BackEndClient {
    /** Sends an attempt; a [Failure.Unreachable] means that nothing was sent. */
    suspend fun send(attempt: DirectAttempt): Either<Failure, OpenAttempt>

    /** A connection to [backEnd] went silent, so the others that are kept may be dead as well. */
    fun discardIdleConnections(backEnd: BackEnd)
}

/** The caller's end of a request. */
interface CallerResponse {
    suspend fun respond(
        head: ResponseHead,
        body: ByteArray,
    )

    suspend fun begin(head: ResponseHead)

    /** Sends bytes on; suspends while the caller does not read. */
    suspend fun write(bytes: ByteArray)

    suspend fun end()
}

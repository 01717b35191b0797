/**
 * A caller's request on its way through the filters of an entry daemon.
 */
package lagoonrudder.traffic.entry

import lagoonrudder.control.DispatchResult
import lagoonrudder.control.RoutingRequest
import lagoonrudder.control.QueuedRequest
import lagoonrudder.model.Failure
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.RequestId
import lagoonrudder.model.Revision
import lagoonrudder.model.VersionId
import lagoonrudder.traffic.Work
import kotlin.time.Duration

/** What arrived from the caller. */
class CallerRequest(
    val method: String,
    val path: String,
    val token: String,
    val key: IdempotencyKey?,
    val contentType: String,
    val body: ByteArray,
)

/** The way back to the caller. Every function suspends until the caller has taken what was given. */
interface ResponseSink {
    /** Starts an answer; called once, before any bytes. */
    suspend fun start(
        status: Int,
        contentType: String,
        version: VersionId?,
    )

    suspend fun write(data: ByteArray)

    /** Marks the answer as whole. */
    suspend fun finish(
        length: Long,
        checksum: Long,
    )

    /** Breaks the connection so that the caller can't take the answer for whole. */
    suspend fun abort(failure: Failure)
}

/** What the system knows of a request once it is identified. */
data class RequestContext(
    val request: RequestId,
    val route: OperatorObject.Route,
    val fleet: OperatorObject.Fleet,
    val customer: OperatorObject.Customer,
    val revision: Revision,
    val work: Work,
    val key: IdempotencyKey?,
    val deadline: Duration,
    val tokens: Long,
    val bytes: Long,
)

/** A place in the line and what the request needs. */
data class Ticket(
    val waiting: QueuedRequest,
    val need: RoutingRequest,
)

class EntryCall(
    val caller: CallerRequest,
    val sink: ResponseSink,
    val receivedAt: Duration,
) {
    lateinit var context: RequestContext

    /** The identity, or null while the request is not identified. */
    fun contextOrNull(): RequestContext? = if (::context.isInitialized) context else null

    lateinit var ticket: Ticket
    lateinit var choice: DispatchResult.Sent
    lateinit var relay: ResponseRelay
}

/**
 * A caller's request in the filter chain of an entry daemon.
 */
package lagoonrudder.traffic.entry

import lagoonrudder.control.DispatchResult
import lagoonrudder.control.QueuedRequest
import lagoonrudder.control.RoutingRequest
import lagoonrudder.model.Failure
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.RequestId
import lagoonrudder.model.Revision
import lagoonrudder.model.VersionId
import lagoonrudder.traffic.Work
import kotlin.time.Duration

/** A request as received from the caller. */
class CallerRequest(
    val method: String,
    val path: String,
    val token: String,
    val key: IdempotencyKey?,
    val contentType: String,
    val body: ByteArray,
)

/** The response to the caller. Every function suspends until the caller has read what was written. */
interface ResponseSink {
    /** Starts a response; called once, before any bytes. */
    suspend fun start(
        status: Int,
        contentType: String,
        version: VersionId?,
    )

    suspend fun write(data: ByteArray)

    /** Marks the response as complete. */
    suspend fun finish(
        length: Long,
        checksum: Long,
    )

    /** Aborts the connection so that the caller can't mistake the response for a complete one. */
    suspend fun abort(failure: Failure)
}

/** The route, customer, limits and work of a request, as resolved by [IdentifyFilter]. */
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

/** A request's queue entry and its requirements on a target. */
data class Ticket(
    val queued: QueuedRequest,
    val routingRequest: RoutingRequest,
)

class EntryCall(
    val caller: CallerRequest,
    val sink: ResponseSink,
    val receivedAt: Duration,
) {
    lateinit var context: RequestContext

    /** Returns the request context, or null before the identify filter has set it. */
    fun contextOrNull(): RequestContext? = if (::context.isInitialized) context else null

    lateinit var ticket: Ticket
    lateinit var choice: DispatchResult.Sent
    lateinit var relay: ResponseRelay
}

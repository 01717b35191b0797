/**
 * The HTTP front for callers: reads a request, runs it through the filters, and writes what comes of it.
 *
 * A body is read within a bounded time and memory before the request is let in. An answer that breaks after its start
 * ends without the end of its chunked body, so that no caller can take it for whole.
 */
package lagoonrudder.daemon.front

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.applicationEnvironment
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import lagoonrudder.control.UploadController
import lagoonrudder.daemon.DaemonCore
import lagoonrudder.daemon.startOn
import lagoonrudder.model.Address
import lagoonrudder.model.Failure
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Refusal
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.Step
import lagoonrudder.traffic.FilterChain
import lagoonrudder.traffic.entry.CallerRequest
import lagoonrudder.traffic.entry.EntryCall
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

class CallerServer(
    private val core: DaemonCore,
    private val chain: FilterChain<EntryCall>,
    private val uploads: UploadController,
    private val address: Address,
) : AutoCloseable {
    private val server =
        embeddedServer(CIO, environment = applicationEnvironment(), configure = { listen() }) {
            intercept(ApplicationCallPipeline.Call) { handle(call) }
        }

    private fun CIOApplicationEngine.Configuration.listen() {
        connectionIdleTimeoutSeconds = IDLE_SECONDS
        connector {
            host = address.host
            port = address.port
        }
    }

    /** Starts the server and returns the address it got. */
    suspend fun start(): Address = server.startOn(address)

    override fun close() {
        server.stop(GRACE_MILLISECONDS, GRACE_MILLISECONDS)
    }

    private suspend fun handle(call: ApplicationCall) {
        val length = call.request.contentLength() ?: LARGEST_BODY
        val fits = length <= LARGEST_BODY && core.thread.decide { uploads.open(length) }
        if (!fits) return respond(call, refused(if (length > LARGEST_BODY) TOO_LARGE else Refusal.Overloaded(RETRY)))
        try {
            val body = withTimeoutOrNull(UPLOAD_LIMIT) { call.receiveChannel().readRemaining(LARGEST_BODY + 1).readByteArray() }
            when {
                body == null -> respond(call, refused(Refusal.Invalid("a whole body within $UPLOAD_LIMIT")))
                body.size > LARGEST_BODY -> respond(call, refused(TOO_LARGE))
                else -> run(call, requestOf(call, body))
            }
        } finally {
            core.thread.decide { uploads.close(length) }
        }
    }

    private suspend fun run(
        call: ApplicationCall,
        request: CallerRequest,
    ) = coroutineScope {
        val sink = HttpResponseSink()
        val running = async { chain.run(EntryCall(request, sink, core.clock.elapsed())) }
        val start =
            select {
                sink.started.onAwait { it }
                running.onAwait { null }
            }
        if (start == null) return@coroutineScope respond(call, running.await())
        if (start.version != null) call.response.header(VERSION_HEADER, start.version.text)
        val type = if (start.version == null) ContentType.parse(start.contentType) else ContentType.Text.EventStream
        call.respondBytesWriter(type, HttpStatusCode.fromValue(start.status)) {
            sink.attach(this)
            val outcome = running.await()
            if (outcome is Outcome.Broken) throw ResponseBrokenException(outcome.failure)
        }
    }

    private fun requestOf(
        call: ApplicationCall,
        body: ByteArray,
    ) = CallerRequest(
        method = call.request.httpMethod.value,
        path = call.request.path(),
        token =
            call.request
                .header(HttpHeaders.Authorization)
                .orEmpty()
                .removePrefix("Bearer "),
        key = call.request.header(KEY_HEADER)?.let(::IdempotencyKey),
        contentType = call.request.header(HttpHeaders.ContentType).orEmpty(),
        body = body,
    )

    private suspend fun respond(
        call: ApplicationCall,
        outcome: Outcome,
    ) {
        when (outcome) {
            is Outcome.Refused -> respondRefusal(call, outcome)
            is Outcome.Unknown -> respondProblem(call, HttpStatusCode.BadGateway, "unknown", outcome.code, outcome.failure)
            is Outcome.Broken -> respondProblem(call, HttpStatusCode.BadGateway, "unknown", outcome.code, outcome.failure)
            is Outcome.Completed -> call.respondText("", status = HttpStatusCode.OK)
        }
    }

    private suspend fun respondRefusal(
        call: ApplicationCall,
        outcome: Outcome.Refused,
    ) {
        val refusal = outcome.refusal
        refusal.retryAfter?.let { call.response.header(HttpHeaders.RetryAfter, seconds(it)) }
        val failure = Failure.Declined(outcome.step, outcome.peer, detailOf(refusal))
        respondProblem(call, statusOf(refusal), "not-run", refusal.code, failure)
    }

    private suspend fun respondProblem(
        call: ApplicationCall,
        status: HttpStatusCode,
        outcome: String,
        code: String,
        failure: Failure,
    ) {
        val problem = ProblemJson(outcome, code, failure.step.name.lowercase(), failure.peer.toString(), failure.detail)
        call.respondText(callerJson.encodeToString(ProblemJson.serializer(), problem), ContentType.Application.Json, status)
    }

    private fun detailOf(refusal: Refusal): String =
        when (refusal) {
            is Refusal.Invalid -> "expected ${refusal.expected}"
            is Refusal.NotServing -> refusal.reason
            Refusal.UnknownRoute, Refusal.UnknownCustomer -> refusal.code
            is Refusal.Overloaded, is Refusal.TooLate, is Refusal.NoTarget, is Refusal.WrongVersion -> refusal.code
        }

    private fun statusOf(refusal: Refusal): HttpStatusCode =
        when (refusal) {
            Refusal.UnknownRoute -> HttpStatusCode.NotFound
            Refusal.UnknownCustomer -> HttpStatusCode.Unauthorized
            is Refusal.Invalid -> HttpStatusCode.BadRequest
            is Refusal.Overloaded, is Refusal.TooLate, is Refusal.NotServing -> HttpStatusCode.ServiceUnavailable
            is Refusal.NoTarget, is Refusal.WrongVersion -> HttpStatusCode.ServiceUnavailable
        }

    private fun refused(refusal: Refusal) = Outcome.Refused(refusal, Step.IDENTIFY, Peer(PeerRole.CALLER, "http"))

    private fun seconds(duration: Duration): Long = duration.toLong(DurationUnit.SECONDS).coerceAtLeast(1)

    private companion object {
        const val KEY_HEADER = "Idempotency-Key"
        const val VERSION_HEADER = "Model-Version"
        const val LARGEST_BODY = 4_000_000L
        const val IDLE_SECONDS = 600
        const val GRACE_MILLISECONDS = 100L
        val UPLOAD_LIMIT = 20.seconds
        val RETRY = 1.seconds
        val TOO_LARGE = Refusal.Invalid("a body of at most $LARGEST_BODY bytes")
    }
}

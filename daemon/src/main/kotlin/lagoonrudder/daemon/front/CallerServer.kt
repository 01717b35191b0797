/**
 * The HTTP server for callers: reads a request, runs it through the filter chain, and writes the response.
 *
 * The time and memory for reading a body are bounded, and the body is read before the request enters the filter chain. A
 * response that fails after its start is cut off without the last chunk of its body, so that no caller can take it for
 * complete.
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
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Refusal
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
        connectionIdleTimeoutSeconds = IDLE_TIMEOUT_SECONDS
        connector {
            host = address.host
            port = address.port
        }
    }

    /** Starts the server and returns the address to which it is bound. */
    suspend fun start(): Address = server.startOn(address)

    override fun close() {
        server.stop(SHUTDOWN_GRACE_MILLISECONDS, SHUTDOWN_GRACE_MILLISECONDS)
    }

    private suspend fun handle(call: ApplicationCall) {
        val length = call.request.contentLength() ?: MAX_BODY_BYTES
        val fits = length <= MAX_BODY_BYTES && core.thread.decide { uploads.open(length) }
        if (!fits) return respond(call, refused(if (length > MAX_BODY_BYTES) BODY_TOO_LARGE else Refusal.Overloaded(RETRY_AFTER)))
        try {
            val body = withTimeoutOrNull(UPLOAD_TIMEOUT) { call.receiveChannel().readRemaining(MAX_BODY_BYTES + 1).readByteArray() }
            when {
                body == null -> respond(call, refused(Refusal.Invalid("a complete body within $UPLOAD_TIMEOUT")))
                body.size > MAX_BODY_BYTES -> respond(call, refused(BODY_TOO_LARGE))
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
        key = call.request.header(IDEMPOTENCY_KEY_HEADER)?.let(::IdempotencyKey),
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
            is Refusal.Overloaded, is Refusal.TooLate, is Refusal.NoTarget, is Refusal.WrongVersion, is Refusal.HeldBack -> refusal.code
        }

    private fun statusOf(refusal: Refusal): HttpStatusCode =
        when (refusal) {
            Refusal.UnknownRoute -> HttpStatusCode.NotFound
            Refusal.UnknownCustomer -> HttpStatusCode.Unauthorized
            is Refusal.Invalid -> HttpStatusCode.BadRequest
            is Refusal.Overloaded, is Refusal.TooLate, is Refusal.NotServing -> HttpStatusCode.ServiceUnavailable
            is Refusal.NoTarget, is Refusal.WrongVersion, is Refusal.HeldBack -> HttpStatusCode.ServiceUnavailable
        }

    private fun refused(refusal: Refusal) = Outcome.Refused(refusal, Step.IDENTIFY, Peer(PeerRole.CALLER, "http"))

    private fun seconds(duration: Duration): Long = duration.toLong(DurationUnit.SECONDS).coerceAtLeast(1)

    private companion object {
        const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
        const val VERSION_HEADER = "Model-Version"
        const val MAX_BODY_BYTES = 4_000_000L
        const val IDLE_TIMEOUT_SECONDS = 600
        const val SHUTDOWN_GRACE_MILLISECONDS = 100L
        val UPLOAD_TIMEOUT = 20.seconds
        val RETRY_AFTER = 1.seconds
        val BODY_TOO_LARGE = Refusal.Invalid("a body of at most $MAX_BODY_BYTES bytes")
    }
}

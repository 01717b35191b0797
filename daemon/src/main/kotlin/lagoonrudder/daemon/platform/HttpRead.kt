/**
 * HTTP requests to the platform. Failures name the step and the peer.
 */
package lagoonrudder.daemon.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.prepareGet
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.readRawBytes
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.model.Failure
import lagoonrudder.model.Peer
import lagoonrudder.model.Step
import java.net.ConnectException
import kotlin.time.Duration

private const val MAX_CONNECTIONS = 10_000

/** Creates an HTTP client without time-outs of its own; every call passes one. */
fun httpClient(): HttpClient =
    HttpClient(CIO) {
        expectSuccess = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
        }
    }

/** A response of the platform; [generation] is zero when the response names none. */
class PlatformResponse(
    val status: Int,
    val generation: Long,
    val bytes: ByteArray,
)

private const val GENERATION_HEADER = "Generation"

/** Sends a GET request to [url]; statuses other than 200, 204 and 404 are failures. */
internal suspend fun HttpClient.read(
    url: String,
    step: Step,
    peer: Peer,
    timeout: Duration,
): Either<Failure, PlatformResponse> =
    callWithTimeout(step, peer, timeout) {
        prepareGet(url).execute { response -> toPlatformResponse(response, step, peer) }
    }

private suspend fun toPlatformResponse(
    response: HttpResponse,
    step: Step,
    peer: Peer,
): Either<Failure, PlatformResponse> {
    val expected = listOf(HttpStatusCode.OK, HttpStatusCode.NoContent, HttpStatusCode.NotFound)
    if (response.status !in expected) return Failure.Declined(step, peer, "unexpected status ${response.status.value}").left()
    val generation = response.headers[GENERATION_HEADER]?.toLongOrNull() ?: 0
    return PlatformResponse(response.status.value, generation, response.readRawBytes()).right()
}

/** Runs [block] with [timeout] and converts exceptions into failures. */
internal suspend fun <T> callWithTimeout(
    step: Step,
    peer: Peer,
    timeout: Duration,
    block: suspend () -> Either<Failure, T>,
): Either<Failure, T> =
    try {
        withTimeoutOrNull(timeout) { block() } ?: Failure.TimedOut(step, peer, timeout).left()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (
        @Suppress("TooGenericExceptionCaught") error: Exception,
    ) {
        transportFailure(error, step, peer).left()
    }

/** Classifies [error]: only an error while the connection was being opened proves that nothing was sent. */
internal fun transportFailure(
    error: Throwable,
    step: Step,
    peer: Peer,
): Failure {
    val causes = generateSequence(error) { it.cause }
    val detail = "${error::class.simpleName} ${error.message.orEmpty()}"
    return if (causes.any { it is ConnectException }) Failure.Unreachable(step, peer, detail) else Failure.Interrupted(step, peer, detail)
}

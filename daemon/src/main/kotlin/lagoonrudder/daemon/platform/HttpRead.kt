/**
 * Reading from the platform over HTTP, with errors that name the step and the peer.
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

private const val CONNECTIONS = 10_000

/** An HTTP client without limits of its own on time; every use passes one. */
fun httpClient(): HttpClient =
    HttpClient(CIO) {
        expectSuccess = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = CONNECTIONS
            endpoint.maxConnectionsPerRoute = CONNECTIONS
        }
    }

/** What the platform answered; [generation] is zero where it names none. */
class PlatformResponse(
    val status: Int,
    val generation: Long,
    val bytes: ByteArray,
)

private const val GENERATION_HEADER = "Generation"

/** Reads [url]; statuses other than 200, 204 and 404 are failures. */
internal suspend fun HttpClient.read(
    url: String,
    step: Step,
    peer: Peer,
    limit: Duration,
): Either<Failure, PlatformResponse> =
    callWithTimeout(step, peer, limit) {
        prepareGet(url).execute { response -> answerOf(response, step, peer) }
    }

private suspend fun answerOf(
    response: HttpResponse,
    step: Step,
    peer: Peer,
): Either<Failure, PlatformResponse> {
    val expected = listOf(HttpStatusCode.OK, HttpStatusCode.NoContent, HttpStatusCode.NotFound)
    if (response.status !in expected) return Failure.Declined(step, peer, "status ${response.status.value}").left()
    val generation = response.headers[GENERATION_HEADER]?.toLongOrNull() ?: 0
    return PlatformResponse(response.status.value, generation, response.readRawBytes()).right()
}

/** Runs [block] within [limit] and turns what it throws into a failure. */
internal suspend fun <T> callWithTimeout(
    step: Step,
    peer: Peer,
    limit: Duration,
    block: suspend () -> Either<Failure, T>,
): Either<Failure, T> =
    try {
        withTimeoutOrNull(limit) { block() } ?: Failure.TimedOut(step, peer, limit).left()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (
        @Suppress("TooGenericExceptionCaught") error: Exception,
    ) {
        transportFailure(error, step, peer).left()
    }

/** Only an error that arose while the connection was being opened proves that nothing was sent. */
internal fun transportFailure(
    error: Throwable,
    step: Step,
    peer: Peer,
): Failure {
    val causes = generateSequence(error) { it.cause }
    val detail = "${error::class.simpleName} ${error.message.orEmpty()}"
    return if (causes.any { it is ConnectException }) Failure.Unreachable(step, peer, detail) else Failure.Interrupted(step, peer, detail)
}

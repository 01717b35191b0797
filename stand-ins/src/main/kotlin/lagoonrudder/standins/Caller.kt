/**
 * A caller: sends requests to an entry daemon and checks that each answer is whole and its own.
 */
package lagoonrudder.standins

import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lagoonrudder.daemon.front.CompletionEndJson
import lagoonrudder.daemon.front.CompletionTextJson
import lagoonrudder.daemon.front.ProblemJson
import lagoonrudder.model.Address
import lagoonrudder.model.Clock
import lagoonrudder.model.SystemClock
import java.util.UUID
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How a call ended for its caller. */
sealed class Reply {
    /** The whole answer came; [firstByte] and [total] count from the start of the call. */
    data class Complete(
        val text: String,
        val version: String,
        val firstByte: Duration,
        val total: Duration,
        val gaps: List<Duration>,
    ) : Reply()

    /** The system said that the request did not run. */
    data class NotRun(
        val code: String,
        val total: Duration,
        val retryAfter: Duration?,
    ) : Reply()

    /** The system said that it does not know. */
    data class Unknown(
        val detail: String,
    ) : Reply()

    /** The answer broke visibly, or there was none. */
    data class Broken(
        val detail: String,
    ) : Reply()

    /** The answer claimed to be whole and was not what it should be. */
    data class Wrong(
        val detail: String,
    ) : Reply()
}

/** A request for text as a caller makes it; [readDelay] is what the caller waits after each event that it reads. */
data class TextCall(
    val path: String,
    val token: String,
    val prompt: String,
    val tokens: Int,
    val limit: Duration = 20.seconds,
    val readDelay: Duration = Duration.ZERO,
)

class Caller(
    private val http: HttpClient,
    private val clock: Clock = SystemClock(),
) {
    suspend fun text(
        entry: Address,
        call: TextCall,
    ): Reply =
        guarded(call.limit) {
            val body =
                buildJsonObject {
                    put("prompt", call.prompt)
                    put("max_tokens", call.tokens)
                }
            val started = clock.elapsed()
            val request =
                http.preparePost("http://$entry${call.path}") {
                    header(HttpHeaders.Authorization, "Bearer ${call.token}")
                    setBody(body.toString())
                }
            request.execute { response ->
                if (response.status ==
                    HttpStatusCode.OK
                ) {
                    readText(response, call, started)
                } else {
                    problem(response, started)
                }
            }
        }

    /** Sends an order that may run at most once. */
    suspend fun order(
        entry: Address,
        path: String,
        token: String,
        key: String,
        body: String,
        limit: Duration = 20.seconds,
    ): Reply =
        guarded(limit) {
            val started = clock.elapsed()
            val request =
                http.preparePost("http://$entry$path") {
                    header(HttpHeaders.Authorization, "Bearer $token")
                    header("Idempotency-Key", key)
                    setBody(body)
                }
            request.execute { response ->
                if (response.status == HttpStatusCode.OK) {
                    val text = response.bodyAsText()
                    val took = clock.elapsed() - started
                    if (text == "{\"done\":\"$body\"}") Reply.Complete(text, "", took, took, emptyList()) else Reply.Wrong(text)
                } else {
                    problem(response, started)
                }
            }
        }

    private suspend fun readText(
        response: HttpResponse,
        call: TextCall,
        started: Duration,
    ): Reply {
        val lines = response.bodyAsChannel()
        val text = StringBuilder()
        val times = mutableListOf<Duration>()
        var ending = false
        while (true) {
            val line = lines.readLine() ?: return Reply.Broken("ended without its end event after ${text.length}")
            when {
                line == "event: end" -> ending = true
                ending && line.startsWith(DATA) -> return judge(line.removePrefix(DATA), text.toString(), call, started, times)
                line.startsWith(DATA) -> {
                    text.append(Json.decodeFromString(CompletionTextJson.serializer(), line.removePrefix(DATA)).text)
                    times += clock.elapsed()
                    if (call.readDelay > Duration.ZERO) delay(call.readDelay)
                }
            }
        }
    }

    private fun judge(
        line: String,
        text: String,
        call: TextCall,
        started: Duration,
        times: List<Duration>,
    ): Reply {
        val end = Json.decodeFromString(CompletionEndJson.serializer(), line)
        if (text != expectedText(end.version, call.prompt, call.tokens)) return Reply.Wrong("length ${text.length} version ${end.version}")
        val first = (times.firstOrNull() ?: clock.elapsed()) - started
        return Reply.Complete(text, end.version, first, clock.elapsed() - started, times.zipWithNext { one, two -> two - one })
    }

    private suspend fun problem(
        response: HttpResponse,
        started: Duration,
    ): Reply {
        val problem = Json.decodeFromString(ProblemJson.serializer(), response.bodyAsText())
        val detail = "${problem.code} step=${problem.step} peer=${problem.peer} ${problem.detail}"
        val retryAfter = response.headers[HttpHeaders.RetryAfter]?.toLongOrNull()?.seconds
        return if (problem.outcome == "not-run") Reply.NotRun(detail, clock.elapsed() - started, retryAfter) else Reply.Unknown(detail)
    }

    private suspend fun guarded(
        limit: Duration,
        call: suspend () -> Reply,
    ): Reply =
        try {
            withTimeoutOrNull(limit) { call() } ?: Reply.Broken("no end within $limit")
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (
            @Suppress("TooGenericExceptionCaught") broken: Exception,
        ) {
            Reply.Broken("${broken::class.simpleName} ${broken.message}")
        }

    private companion object {
        const val DATA = "data: "
    }
}

/** A version 7 UUID for the time [milliseconds] since the epoch. */
fun uuidV7At(
    milliseconds: Long,
    random: Random = Random.Default,
): String {
    val high = (milliseconds shl 16) or VERSION_7 or random.nextLong(RANDOM_HIGH)
    val low = (random.nextLong() and VARIANT_MASK) or VARIANT
    return UUID(high, low).toString()
}

private const val VERSION_7 = 0x7000L
private const val RANDOM_HIGH = 0x1000L
private const val VARIANT_MASK = 0x3FFFFFFFFFFFFFFFL
private const val VARIANT = Long.MIN_VALUE

/**
 * Calls to a simulated site that verify the response.
 */
package lagoonrudder.standins.virtual

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.model.Failure
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.Outcome
import lagoonrudder.model.VersionId
import lagoonrudder.standins.Reply
import lagoonrudder.standins.TextCall
import lagoonrudder.standins.expectedText
import lagoonrudder.traffic.entry.CallerRequest
import lagoonrudder.traffic.entry.ResponseSink
import kotlin.time.Duration

/** Records a response; each write is delayed by [readDelay], as with a slow reader. */
class RecordingSink(
    private val clock: VirtualClock,
    private val readDelay: Duration,
) : ResponseSink {
    private val bytes = StringBuilder()
    val writeTimes = mutableListOf<Duration>()
    var version: VersionId? = null
        private set
    var started = false
        private set
    var finished = false
        private set
    var aborted = false
        private set

    val text: String get() = bytes.toString()

    override suspend fun start(
        status: Int,
        contentType: String,
        version: VersionId?,
    ) {
        started = true
        this.version = version
    }

    override suspend fun write(data: ByteArray) {
        bytes.append(data.decodeToString())
        writeTimes += clock.elapsed()
        if (readDelay > Duration.ZERO) delay(readDelay)
    }

    override suspend fun finish(
        length: Long,
        checksum: Long,
    ) {
        finished = true
    }

    override suspend fun abort(failure: Failure) {
        aborted = true
    }
}

/** Requests generated text from [entry] and verifies the response. */
suspend fun VirtualSite.fetchText(
    entry: VirtualEntry,
    call: TextCall,
): Reply {
    val sink = RecordingSink(clock, call.readDelay)
    val startedAt = clock.elapsed()
    val body = "{\"prompt\":\"${call.prompt}\",\"max_tokens\":${call.tokens}}".encodeToByteArray()
    val request = CallerRequest("POST", call.path, call.token, null, "application/json", body)
    val outcome = withTimeoutOrNull(call.limit) { entry.call(request, sink) } ?: return Reply.Broken("no outcome within ${call.limit}")
    val total = clock.elapsed() - startedAt
    return verify(outcome, sink, startedAt, total) { expectedText(sink.version?.text.orEmpty(), call.prompt, call.tokens) }
}

/** Sends an order, a call that must be executed at most once, and verifies the response. */
suspend fun VirtualSite.sendOrder(
    entry: VirtualEntry,
    path: String,
    token: String,
    key: IdempotencyKey,
    body: String,
    timeout: Duration,
): Reply {
    val sink = RecordingSink(clock, Duration.ZERO)
    val startedAt = clock.elapsed()
    val request = CallerRequest("POST", path, token, key, "text/plain", body.encodeToByteArray())
    val outcome = withTimeoutOrNull(timeout) { entry.call(request, sink) } ?: return Reply.Broken("no outcome within $timeout")
    return verify(outcome, sink, startedAt, clock.elapsed() - startedAt) { "done $body" }
}

private fun verify(
    outcome: Outcome,
    sink: RecordingSink,
    startedAt: Duration,
    total: Duration,
    expected: () -> String,
): Reply =
    when (outcome) {
        is Outcome.Completed -> {
            val correct = sink.finished && sink.text == expected()
            val firstByte = (sink.writeTimes.firstOrNull() ?: startedAt) - startedAt
            val gaps = sink.writeTimes.zipWithNext { previous, next -> next - previous }
            if (correct) {
                Reply.Complete(
                    sink.text,
                    sink.version?.text.orEmpty(),
                    firstByte,
                    total,
                    gaps,
                )
            } else {
                Reply.Wrong("unexpected text of length ${sink.text.length}")
            }
        }
        is Outcome.Refused -> {
            val clean = !sink.started && !sink.finished
            if (clean) Reply.NotRun(outcome.refusal.code, total, outcome.refusal.retryAfter) else Reply.Wrong("refused mid-response")
        }
        is Outcome.Unknown -> Reply.Unknown(outcome.failure.describe())
        is Outcome.Broken -> if (sink.finished) Reply.Wrong("broken after completion") else Reply.Broken(outcome.failure.describe())
    }

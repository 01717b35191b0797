/**
 * Calls to a simulated site that verify the response.
 */
package lagoonrudder.standins.virtual

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.model.Failure
import lagoonrudder.model.Outcome
import lagoonrudder.model.RepeatKey
import lagoonrudder.model.VersionId
import lagoonrudder.standins.CallEnd
import lagoonrudder.standins.TextCall
import lagoonrudder.standins.wholeAnswer
import lagoonrudder.traffic.entry.AnswerSink
import lagoonrudder.traffic.entry.CallerRequest
import kotlin.time.Duration

/** Records a response; each write is delayed by [pause], as with a slow reader. */
class RecordingSink(
    private val clock: VirtualClock,
    private val pause: Duration,
) : AnswerSink {
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
        if (pause > Duration.ZERO) delay(pause)
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
): CallEnd {
    val sink = RecordingSink(clock, call.pause)
    val startedAt = clock.elapsed()
    val body = "{\"prompt\":\"${call.prompt}\",\"max_tokens\":${call.tokens}}".encodeToByteArray()
    val request = CallerRequest("POST", call.path, call.token, null, "application/json", body)
    val outcome = withTimeoutOrNull(call.limit) { entry.call(request, sink) } ?: return CallEnd.Broken("no outcome within ${call.limit}")
    val total = clock.elapsed() - startedAt
    return verify(outcome, sink, startedAt, total) { wholeAnswer(sink.version?.text.orEmpty(), call.prompt, call.tokens) }
}

/** Sends an order, a call that must be executed at most once, and verifies the response. */
suspend fun VirtualSite.sendOrder(
    entry: VirtualEntry,
    path: String,
    token: String,
    key: RepeatKey,
    body: String,
    timeout: Duration,
): CallEnd {
    val sink = RecordingSink(clock, Duration.ZERO)
    val startedAt = clock.elapsed()
    val request = CallerRequest("POST", path, token, key, "text/plain", body.encodeToByteArray())
    val outcome = withTimeoutOrNull(timeout) { entry.call(request, sink) } ?: return CallEnd.Broken("no outcome within $timeout")
    return verify(outcome, sink, startedAt, clock.elapsed() - startedAt) { "done $body" }
}

private fun verify(
    outcome: Outcome,
    sink: RecordingSink,
    startedAt: Duration,
    total: Duration,
    expected: () -> String,
): CallEnd =
    when (outcome) {
        is Outcome.Completed -> {
            val correct = sink.finished && sink.text == expected()
            val firstByte = (sink.writeTimes.firstOrNull() ?: startedAt) - startedAt
            val gaps = sink.writeTimes.zipWithNext { previous, next -> next - previous }
            if (correct) {
                CallEnd.Whole(
                    sink.text,
                    sink.version?.text.orEmpty(),
                    firstByte,
                    total,
                    gaps,
                )
            } else {
                CallEnd.Wrong("unexpected text of length ${sink.text.length}")
            }
        }
        is Outcome.Refused -> {
            val clean = !sink.started && !sink.finished
            if (clean) CallEnd.NotRun(outcome.refusal.code, total, outcome.refusal.retryAfter) else CallEnd.Wrong("refused mid-response")
        }
        is Outcome.Unknown -> CallEnd.Unknown(outcome.failure.describe())
        is Outcome.Broken -> if (sink.finished) CallEnd.Wrong("broken after completion") else CallEnd.Broken(outcome.failure.describe())
    }

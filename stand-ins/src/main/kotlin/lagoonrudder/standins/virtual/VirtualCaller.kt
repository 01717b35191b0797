/**
 * A caller in virtual time that checks its answer.
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

/** Collects an answer; each write takes [pause], as a slow reader would. */
class RecordingSink(
    private val clock: VirtualClock,
    private val pause: Duration,
) : AnswerSink {
    private val bytes = StringBuilder()
    val times = mutableListOf<Duration>()
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
        times += clock.elapsed()
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

/** Asks [entry] for text and judges the answer. */
suspend fun VirtualSite.requestText(
    entry: VirtualEntry,
    call: TextCall,
): CallEnd {
    val sink = RecordingSink(clock, call.pause)
    val started = clock.elapsed()
    val body = "{\"prompt\":\"${call.prompt}\",\"max_tokens\":${call.tokens}}".encodeToByteArray()
    val request = CallerRequest("POST", call.path, call.token, null, "application/json", body)
    val outcome = withTimeoutOrNull(call.limit) { entry.call(request, sink) } ?: return CallEnd.Broken("no end within ${call.limit}")
    val took = clock.elapsed() - started
    return judge(outcome, sink, started, took) { wholeAnswer(sink.version?.text.orEmpty(), call.prompt, call.tokens) }
}

/** Sends an order that may run at most once. */
suspend fun VirtualSite.sendOrder(
    entry: VirtualEntry,
    path: String,
    token: String,
    key: RepeatKey,
    body: String,
    limit: Duration,
): CallEnd {
    val sink = RecordingSink(clock, Duration.ZERO)
    val started = clock.elapsed()
    val request = CallerRequest("POST", path, token, key, "text/plain", body.encodeToByteArray())
    val outcome = withTimeoutOrNull(limit) { entry.call(request, sink) } ?: return CallEnd.Broken("no end within $limit")
    return judge(outcome, sink, started, clock.elapsed() - started) { "done $body" }
}

private fun judge(
    outcome: Outcome,
    sink: RecordingSink,
    started: Duration,
    took: Duration,
    expected: () -> String,
): CallEnd =
    when (outcome) {
        is Outcome.Completed -> {
            val right = sink.finished && sink.text == expected()
            val first = (sink.times.firstOrNull() ?: started) - started
            val gaps = sink.times.zipWithNext { one, two -> two - one }
            if (right) {
                CallEnd.Whole(
                    sink.text,
                    sink.version?.text.orEmpty(),
                    first,
                    took,
                    gaps,
                )
            } else {
                CallEnd.Wrong("length ${sink.text.length}")
            }
        }
        is Outcome.Refused -> {
            val clean = !sink.started && !sink.finished
            if (clean) CallEnd.NotRun(outcome.refusal.code, took, outcome.refusal.retryAfter) else CallEnd.Wrong("refused after a start")
        }
        is Outcome.Unknown -> CallEnd.Unknown(outcome.failure.describe())
        is Outcome.Broken -> if (sink.finished) CallEnd.Wrong("broken after its end") else CallEnd.Broken(outcome.failure.describe())
    }

/**
 * A fake back end that serves streams once it has loaded weights.
 */
package lagoonrudder.standins.direct

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import lagoonrudder.http.HttpExchange
import lagoonrudder.http.HttpHandler
import lagoonrudder.http.HttpRequest
import lagoonrudder.http.HttpResponseHead
import lagoonrudder.http.NO_BYTES
import lagoonrudder.model.HeaderField
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private const val LAYER_COUNT = 4

/** How a back end handles the following requests. */
enum class WorkerBehavior { NORMAL, ABORTS_MID_EVENT, RESETS_BEFORE_RESPONSE, OVERLOADED, STALLED, PAUSES_BEFORE_HEAD, PAUSES_IN_BODY }

/** The begin of [request] at a back end, on the version that was loaded then. */
data class WorkerBegin(
    val request: String,
    val version: Long,
    val at: ComparableTimeMark,
)

/** All functions must be called on the thread of the event loop. */
class FakeWorker(
    val id: String,
    private val scope: CoroutineScope,
) : HttpHandler {
    private val staged = mutableMapOf<Int, ByteArray>()
    private var loading = false
    private var orders = 0
    var born = BORN
        private set

    /** The loaded version, or null. */
    var loadedVersion: Long? = null
        private set

    /** Whether an order ever loaded chunks that were missing, corrupted or of another version. */
    var loadedInvalidChunks = false
        private set

    /** Whether the loaded chunks were missing, corrupted or of another version when they were taken. */
    private var holdsInvalidChunks = false

    /** The requests that began on such chunks. */
    var begunOnInvalidChunks = 0
        private set

    var behavior = WorkerBehavior.NORMAL

    /** A part of prompts that crashes this back end when it begins to write an answer on it; null if there is none. */
    var deadlyPart: String? = null

    /** The times at which requests with [deadlyPart] arrived. */
    val deadlyArrivals = mutableListOf<TimeMark>()

    /** The times at which this back end crashed. */
    val crashes = mutableListOf<TimeMark>()

    /** Runs when this back end is back after a crash. */
    var onRestarted: () -> Unit = {}

    /** The slots and the queue of this back end; null if it runs all requests at once. */
    var slots: WorkerSlots? = null

    /** The time from the first event of a stream to its last one, of the next requests. */
    var requestTime = EVENT_INTERVAL * (EVENT_COUNT - 1)

    /** The requests that began, each with its first event. */
    val begins = mutableListOf<WorkerBegin>()

    private val exchanges = mutableSetOf<HttpExchange>()
    private var isDown = false

    /** Whether this back end says in its answers that it leaves. */
    var leaving = false

    /** The time for which this back end, if overloaded, asks for no further request. */
    var retryAfter: Duration? = null

    /** The requests that arrived, whether or not they were executed. */
    var arrivals = 0
        private set

    /** How long this back end loads the chunks of an order that it accepted. */
    var loadTime = LOAD_TIME

    /** How long the next orders lie here before this back end decides on them, whether or not their sender still waits. */
    val orderDelays = ArrayDeque<Duration>()

    /** Runs before the answer to each read of a staged chunk, with the index of the chunk. */
    var onChunkRead: suspend (Int) -> Unit = {}

    /** Runs before a chunk is stored, whether or not its sender still waits. */
    var onChunkWrite: suspend (Int) -> Unit = {}

    /** The versions of all orders that arrived. */
    val orderedVersions = mutableListOf<Long>()

    /** The requests that this back end executed. */
    val executed = mutableListOf<HttpRequest>()

    /** Whether all chunks of [version] are staged. */
    fun hasStaged(version: Long): Boolean = stagedCount(version) == CHUNK_COUNT

    fun stagedCount(version: Long): Int = stagedChunks(version).size

    /** Returns the chunks of [version] that are staged. */
    fun stagedChunks(version: Long): List<Int> = (0 until CHUNK_COUNT).filter { staged[it]?.contentEquals(chunkOf(version, it)) == true }

    /** Starts anew: nothing is loaded, and the staged chunks are still there. */
    fun restart() {
        loadedVersion = null
        holdsInvalidChunks = false
        loading = false
        orders = 0
        born++
    }

    /** Cuts all requests and starts anew after [DOWN_TIME]. */
    private fun crash() {
        crashes += TimeSource.Monotonic.markNow()
        isDown = true
        exchanges.forEach { it.abort() }
        scope.launch {
            delay(DOWN_TIME)
            restart()
            isDown = false
            onRestarted()
        }
    }

    /** Corrupts a staged chunk. */
    fun corruptStagedChunk(index: Int) {
        staged[index] = ByteArray(CHUNK_BYTES)
    }

    fun JsonObjectBuilder.writeLoadedWeights() {
        val loaded = loadedVersion
        putJsonArray("models") {
            if (loaded != null) {
                addJsonObject {
                    put("name", MODEL_NAME)
                    put("version", loaded)
                }
            }
        }
        if (loaded == null) put("layers", JsonNull) else putJsonObject("layers") { writeLayers(loaded) }
    }

    override suspend fun handle(exchange: HttpExchange) {
        if (isDown) return exchange.abort()
        exchanges += exchange
        try {
            route(exchange)
        } finally {
            exchanges -= exchange
        }
    }

    private suspend fun route(exchange: HttpExchange) {
        val target = exchange.request.target
        val index = queryParameters(target)["num"]?.toInt()
        when {
            target.endsWith("/report") -> report(exchange)
            target.endsWith("/order") -> order(exchange)
            "/stage-put/" in target && index != null -> {
                val body = exchange.request.body
                val stored =
                    scope.async {
                        onChunkWrite(index)
                        staged[index] = body
                    }
                stored.await()
                exchange.respond(200, emptyList(), NO_BYTES)
            }
            "/stage-get/" in target && index != null -> {
                val chunk = staged[index]
                onChunkRead(index)
                exchange.respond(if (chunk == null) 404 else 200, emptyList(), chunk ?: NO_BYTES)
            }
            else -> serve(exchange)
        }
    }

    private fun JsonObjectBuilder.writeLayers(loaded: Long) {
        put("from", 0)
        put("target", LAYER_COUNT)
        put("version", loaded)
    }

    private suspend fun report(exchange: HttpExchange) =
        exchange.respondJson(
            buildJsonObject {
                writeLoadedWeights()
                put("busy", loading)
                put("seq", orders)
                put("running", slots?.running ?: 0)
                put("waiting", slots?.waiting ?: 0)
                put("born", born)
            },
        )

    private suspend fun order(exchange: HttpExchange) {
        val body = exchange.request.body.decodeToString()
        val ordered = numberIn(body, "version") ?: return exchange.respond(400, emptyList(), NO_BYTES)
        orderedVersions += ordered
        val delay = orderDelays.removeFirstOrNull() ?: Duration.ZERO
        val status =
            scope.async {
                delay(delay)
                decideOrder(ordered, numberIn(body, "expected"))
            }
        exchange.respond(status.await(), emptyList(), NO_BYTES)
    }

    /** Takes the staged chunks as they are now, unless the order does not fit this back end's state. Returns the status. */
    private fun decideOrder(
        ordered: Long,
        expected: Long?,
    ): Int {
        if (loading || (expected != null && expected != orders.toLong())) return 409
        if (loadedVersion == ordered) return 200
        orders++
        loading = true
        val isInvalid = !hasStaged(ordered)
        if (isInvalid) loadedInvalidChunks = true
        scope.launch {
            slots?.close()
            delay(loadTime)
            loadedVersion = ordered
            holdsInvalidChunks = isInvalid
            loading = false
            slots?.open()
        }
        return 202
    }

    private fun numberIn(
        body: String,
        field: String,
    ): Long? =
        Regex("\"$field\":(\\d+)")
            .find(body)
            ?.groupValues
            ?.get(1)
            ?.toLong()

    private suspend fun serve(exchange: HttpExchange) {
        val request = exchange.request
        val loaded = loadedVersion
        val expected = request.field("Expect-Instance")
        val echo = HeaderField("Request-Id", request.field("Request-Id").orEmpty())
        arrivals++
        val isOtherInstance = expected != null && expected != id
        val isOtherVersion = request.field("Expect-Version")?.let { it.toLong() != loaded } ?: false
        when {
            isOtherInstance || isOtherVersion -> exchange.respond(421, listOf(echo), NO_BYTES)
            loaded == null || loading || slots?.isFull == true || behavior == WorkerBehavior.OVERLOADED ->
                exchange.respond(
                    503,
                    listOf(echo, HeaderField("Not-Executed", "1")) + notices(),
                    NO_BYTES,
                )
            else -> runInSlot(exchange)
        }
    }

    private suspend fun runInSlot(exchange: HttpExchange) {
        val slots = slots
        if (slots == null) run(exchange) else slots.withSlot { run(exchange) }
    }

    private suspend fun run(exchange: HttpExchange) {
        val loaded = loadedVersion ?: return exchange.abort()
        executed += exchange.request
        when (behavior) {
            WorkerBehavior.RESETS_BEFORE_RESPONSE -> return exchange.abort()
            WorkerBehavior.STALLED -> delay(STALL_TIME)
            WorkerBehavior.PAUSES_BEFORE_HEAD -> delay(PAUSE_TIME)
            else -> Unit
        }
        val fields =
            listOf(
                HeaderField("Request-Id", exchange.request.field("Request-Id").orEmpty()),
                HeaderField("Response-Stamp", "stamp-$id"),
                HeaderField("Weight-Versions", loaded.toString()),
            ) + notices()
        exchange.begin(HttpResponseHead(200, fields))
        if (isDeadly(exchange.request)) {
            deadlyArrivals += TimeSource.Monotonic.markNow()
            delay(PREFILL_TIME)
            return crash()
        }
        val first = (exchange.request.field("Last-Event-Id")?.toInt() ?: 0) + 1
        val interval = requestTime / (EVENT_COUNT - 1)
        if (holdsInvalidChunks) begunOnInvalidChunks++
        begins += WorkerBegin(exchange.request.field("Request-Id").orEmpty(), loaded, TimeSource.Monotonic.markNow())
        for (event in first..EVENT_COUNT) {
            if (event == EVENT_COUNT / 2 && behavior == WorkerBehavior.ABORTS_MID_EVENT) {
                exchange.write("id: $event\nda".encodeToByteArray())
                return exchange.abort()
            }
            if (event == EVENT_COUNT / 2 && behavior == WorkerBehavior.PAUSES_IN_BODY) delay(PAUSE_TIME)
            exchange.write("id: $event\ndata: $event\n\n".encodeToByteArray())
            delay(interval)
        }
        exchange.end()
    }

    private fun notices(): List<HeaderField> =
        buildList {
            if (leaving) add(HeaderField("Server-Leaving", "1"))
            retryAfter?.let { add(HeaderField("Retry-After", it.inWholeSeconds.toString())) }
        }

    private fun isDeadly(request: HttpRequest): Boolean {
        val parts =
            request
                .field("Prompt-Prefix")
                .orEmpty()
                .split(',')
                .map { it.substringBefore(':') }
        return deadlyPart != null && deadlyPart in parts
    }

    companion object {
        const val EVENT_COUNT = 6
        const val BORN = 7L
        private val LOAD_TIME = 100.milliseconds
        private val EVENT_INTERVAL = 5.milliseconds
        private val STALL_TIME = 10_000.milliseconds
        private val PAUSE_TIME = 1_800.milliseconds
        private val PREFILL_TIME = 20.milliseconds
        private val DOWN_TIME = 400.milliseconds
    }
}

/**
 * A back end that serves streams once it holds weights, and the origin from which the weights come.
 */
package lagoonrudder.standins.direct

import kotlinx.coroutines.CoroutineScope
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
import lagoonrudder.http.HttpResponseHead
import lagoonrudder.http.HttpRequest
import lagoonrudder.http.NO_BYTES
import lagoonrudder.model.HeaderField
import lagoonrudder.model.digestOf
import kotlin.time.Duration.Companion.milliseconds

internal const val STAND_IN_MODEL = "model"
internal const val STAND_IN_PIECES = 6
private const val STAND_IN_LAYERS = 4
private const val PIECE_BYTES = 4_096

/** Piece [index] of version [number]. */
internal fun pieceOf(
    number: Long,
    index: Int,
): ByteArray = ByteArray(PIECE_BYTES) { (it * 31 + index * 7 + number * 13).toByte() }

/** How a back end treats the next requests. */
enum class WorkerBehavior { SOUND, BREAKS_OFF, RESETS_BEFORE_ANSWER, FULL, SILENT }

/** Every function runs on the loop's thread. */
class FakeWorker(
    val id: String,
    private val scope: CoroutineScope,
) : HttpHandler {
    private val staged = mutableMapOf<Int, ByteArray>()
    private var loading = false
    private var orders = 0

    /** The version that is held, or null. */
    var number: Long? = null
        private set

    /** Whether an order ever loaded pieces that were not those of one version. */
    var loadedUnsound = false
        private set

    var mood = WorkerBehavior.SOUND

    /** The requests that ran here. */
    val ran = mutableListOf<HttpRequest>()

    /** Damages a staged piece at rest. */
    fun rot(index: Int) {
        staged[index] = ByteArray(PIECE_BYTES)
    }

    fun JsonObjectBuilder.holding() {
        val held = number
        putJsonArray("models") {
            if (held != null) {
                addJsonObject {
                    put("name", STAND_IN_MODEL)
                    put("version", held)
                }
            }
        }
        if (held == null) put("layers", JsonNull) else putJsonObject("layers") { layers(held) }
    }

    override suspend fun handle(exchange: HttpExchange) {
        val target = exchange.request.target
        val index = queryOf(target)["num"]?.toInt()
        when {
            target.endsWith("/report") -> report(exchange)
            target.endsWith("/order") -> order(exchange)
            "/stage-put/" in target && index != null -> {
                staged[index] = exchange.request.body
                exchange.respond(200, emptyList(), NO_BYTES)
            }
            "/stage-get/" in target && index != null -> {
                val piece = staged[index]
                exchange.respond(if (piece == null) 404 else 200, emptyList(), piece ?: NO_BYTES)
            }
            else -> serve(exchange)
        }
    }

    private fun JsonObjectBuilder.layers(held: Long) {
        put("from", 0)
        put("target", STAND_IN_LAYERS)
        put("version", held)
    }

    private suspend fun report(exchange: HttpExchange) =
        exchange.json(
            buildJsonObject {
                holding()
                put("busy", loading)
                put("seq", orders)
                put("running", 0)
                put("waiting", 0)
                put("born", BORN)
            },
        )

    private suspend fun order(exchange: HttpExchange) {
        val asked =
            Regex("\"version\":(\\d+)")
                .find(exchange.request.body.decodeToString())
                ?.groupValues
                ?.get(1)
                ?.toLong()
        if (asked == null || loading) return exchange.respond(409, emptyList(), NO_BYTES)
        orders++
        loading = true
        if ((0 until STAND_IN_PIECES).any { staged[it]?.contentEquals(pieceOf(asked, it)) != true }) loadedUnsound = true
        scope.launch {
            delay(LOAD_TIME)
            number = asked
            loading = false
        }
        exchange.respond(202, emptyList(), NO_BYTES)
    }

    private suspend fun serve(exchange: HttpExchange) {
        val request = exchange.request
        val held = number
        val expected = request.field("Expect-Instance")
        val isOther = expected != null && expected != id
        val isOld = request.field("Expect-Version")?.let { it.toLong() != held } ?: false
        when {
            isOther || isOld -> exchange.respond(421, emptyList(), NO_BYTES)
            held == null || loading || mood == WorkerBehavior.FULL -> exchange.respond(503, listOf(HeaderField("Not-Executed", "1")), NO_BYTES)
            else -> run(exchange, held)
        }
    }

    private suspend fun run(
        exchange: HttpExchange,
        held: Long,
    ) {
        ran += exchange.request
        when (mood) {
            WorkerBehavior.RESETS_BEFORE_ANSWER -> return exchange.abort()
            WorkerBehavior.SILENT -> delay(SILENCE)
            else -> Unit
        }
        val fields =
            listOf(
                HeaderField("Request-Id", exchange.request.field("Request-Id").orEmpty()),
                HeaderField("Response-Stamp", "stamp-$id"),
                HeaderField("Weight-Versions", held.toString()),
            )
        exchange.begin(HttpResponseHead(200, fields))
        val first = (exchange.request.field("Last-Event-Id")?.toInt() ?: 0) + 1
        for (event in first..EVENTS) {
            if (event == EVENTS / 2 && mood == WorkerBehavior.BREAKS_OFF) {
                exchange.write("id: $event\nda".encodeToByteArray())
                return exchange.abort()
            }
            exchange.write("id: $event\ndata: $event\n\n".encodeToByteArray())
            delay(EVENT_PAUSE)
        }
        exchange.end()
    }

    companion object {
        const val EVENTS = 6
        const val BORN = 7L
        private val LOAD_TIME = 100.milliseconds
        private val EVENT_PAUSE = 5.milliseconds
        private val SILENCE = 10_000.milliseconds
    }
}

/** The origin; [draws] counts the pieces that it sent. */
class FakeWeightOrigin : HttpHandler {
    var newest = 1L
    var draws = 0
        private set

    override suspend fun handle(exchange: HttpExchange) {
        val query = queryOf(exchange.request.target)
        val number = query["version"]?.toLong() ?: newest
        if ("/manifest/" in exchange.request.target) {
            exchange.json(
                buildJsonObject {
                    put("model", STAND_IN_MODEL)
                    put("version", number)
                    putJsonArray("digests") { (0 until STAND_IN_PIECES).forEach { add(digestOf(pieceOf(number, it)).hexadecimal) } }
                },
            )
        } else {
            draws++
            exchange.respond(200, emptyList(), pieceOf(number, query.getValue("num").toInt()))
        }
    }
}

/**
 * Stands for a model engine: it batches continuously, slows down under load, warms up after each start, and falls over
 * when it gets far more than it bears.
 *
 * Its answers depend on the weights that it really holds, so that anyone who knows the version can check them; an engine
 * that was ordered to load an incomplete version answers something else.
 */
package lagoonrudder.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.delay
import lagoonrudder.daemon.backend.EndJson
import lagoonrudder.daemon.backend.EngineLineJson
import lagoonrudder.daemon.backend.GenerateJson
import lagoonrudder.daemon.backend.OrderJson
import lagoonrudder.daemon.backend.StartJson
import lagoonrudder.daemon.backend.StateJson
import lagoonrudder.daemon.backend.TextJson
import lagoonrudder.daemon.backend.engineJson
import lagoonrudder.model.Address
import lagoonrudder.model.Clock
import lagoonrudder.model.SystemClock
import java.io.IOException
import java.util.Collections
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.zip.CRC32C
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class FakeEngine(
    private val traits: EngineTraits = EngineTraits(),
    private val clock: Clock = SystemClock(),
) : AutoCloseable {
    private val server = LoopbackHttpServer { handle(it) }
    private val chunks = HashMap<String, MutableSet<Int>>()

    @Volatile
    private var incarnation = newIncarnation()

    @Volatile
    private var version: String? = null

    @Volatile
    private var partial = false

    @Volatile
    private var loading = false
    private var fencing = 0L
    private var role = "serve"

    @Volatile
    private var startedAt = clock.elapsed()

    @Volatile
    private var downUntil = -Duration.INFINITE
    private val load = EngineLoad(traits)

    val address: Address get() = server.address

    /** The answers that were begun, ended and cancelled, and how often the engine fell over. */
    val begun = AtomicLong()
    val ended = AtomicLong()
    val cancelled = AtomicLong()
    val crashes = AtomicInteger()
    val mostInFlight = AtomicInteger()

    /** Version loads that were carried out, in order. */
    val loads = Collections.synchronizedList(mutableListOf<String>())

    /** Whether answers stop in the middle and stay silent. */
    @Volatile
    var silent = false

    /** Whether the next load is refused as a version that can't run. */
    @Volatile
    var refusesVersion: String? = null

    /** Loses everything and comes back after [downTime] as a new incarnation. */
    @Synchronized
    fun restart(downTime: Duration = traits.downTime) {
        incarnation = newIncarnation()
        version = null
        loading = false
        chunks.clear()
        fencing = 0
        startedAt = clock.elapsed() + downTime
        downUntil = clock.elapsed() + downTime
    }

    override fun close() = server.close()

    private fun newIncarnation() = UUID.randomUUID().toString().take(INCARNATION_LENGTH)

    private suspend fun handle(call: ApplicationCall) {
        if (clock.elapsed() < downUntil) return call.respondText("down", status = HttpStatusCode.ServiceUnavailable)
        val words =
            call.request
                .path()
                .split('/')
                .filter { it.isNotEmpty() }
        when (words.firstOrNull()) {
            "state" -> call.respondText(engineJson.encodeToString(StateJson.serializer(), state()), ContentType.Application.Json)
            "weights" -> takeChunk(call, words[1], words[2].toInt())
            "orders" -> order(call, engineJson.decodeFromString(OrderJson.serializer(), call.body().decodeToString()))
            "generate" -> generate(call, engineJson.decodeFromString(GenerateJson.serializer(), call.body().decodeToString()))
            else -> call.respondText("", status = HttpStatusCode.NotFound)
        }
    }

    @Synchronized
    private fun state() = StateJson(incarnation, version, role, fencing.takeIf { traits.checksFencing }, loading)

    private suspend fun takeChunk(
        call: ApplicationCall,
        version: String,
        chunk: Int,
    ) {
        if (call.request.httpMethod != HttpMethod.Put) return call.respondText("", status = HttpStatusCode.MethodNotAllowed)
        call.body()
        synchronized(this) { chunks.getOrPut(version) { mutableSetOf() } += chunk }
        call.respondText("")
    }

    private suspend fun order(
        call: ApplicationCall,
        order: OrderJson,
    ) {
        if (order.version.isNotEmpty() && order.version == refusesVersion) {
            return call.respondText("version can't run", status = HttpStatusCode.UnprocessableEntity)
        }
        if (!passes(order)) return call.respondText("", status = HttpStatusCode.Conflict)
        if (order.kind != "change-role") load(order)
        call.respondText("")
    }

    @Synchronized
    private fun passes(order: OrderJson): Boolean {
        if (!traits.checksFencing) return true
        if (order.fencing <= fencing) return false
        fencing = order.fencing
        return true
    }

    private suspend fun load(order: OrderJson) {
        val own = incarnation
        loading = true
        delay(traits.loadTime)
        synchronized(this) {
            if (own != incarnation) return
            val held = chunks[order.version].orEmpty()
            partial = held.size != order.chunks
            version = order.version
            chunks.keys.retainAll(setOf(order.version))
            loading = false
            loads += order.version
        }
    }

    private suspend fun generate(
        call: ApplicationCall,
        request: GenerateJson,
    ) {
        val served = version
        val tokens = request.maximumTokens + request.prompt.length / TOKEN_LENGTH.toLong()
        if (served == null || loading) return call.respondText("", status = HttpStatusCode.ServiceUnavailable)
        admit(tokens)
        val own = incarnation
        begun.incrementAndGet()
        try {
            call.respondBytesWriter(ContentType.Application.Json) { answer(request, served, own) }
            ended.incrementAndGet()
        } catch (gone: IOException) {
            cancelled.incrementAndGet()
            throw gone
        } finally {
            load.release(tokens)
        }
    }

    private fun admit(tokens: Long) {
        val stands = load.admit(tokens, clock.elapsed() - startedAt)
        mostInFlight.accumulateAndGet(load.requests(), ::maxOf)
        if (stands) return
        crashes.incrementAndGet()
        restart()
    }

    private suspend fun ByteWriteChannel.answer(
        request: GenerateJson,
        served: String,
        own: String,
    ) {
        line(EngineLineJson(start = StartJson(own, served)))
        delay(traits.firstTokenDelay * slowdown() + (request.prompt.length / PREFILL_CHARACTERS).milliseconds)
        val sum = CRC32C()
        var offset = request.offset
        val length = request.maximumTokens.toLong() * TOKEN_LENGTH
        while (offset < length) {
            while (silent) delay(SILENCE_CHECK)
            if (own != incarnation) throw IOException("the engine fell over")
            val text = tokenAt(served, request.prompt, offset, partial)
            sum.update(text.encodeToByteArray())
            line(EngineLineJson(text = TextJson(offset, text)))
            offset += text.length
            delay(traits.tokenInterval * slowdown())
        }
        line(EngineLineJson(end = EndJson(version ?: "", length, sum.value)))
    }

    private suspend fun ByteWriteChannel.line(line: EngineLineJson) {
        writeStringUtf8(engineJson.encodeToString(EngineLineJson.serializer(), line) + "\n")
        flush()
    }

    private fun slowdown(): Double = load.slowdown(clock.elapsed() - startedAt)

    private companion object {
        const val INCARNATION_LENGTH = 8
        const val PREFILL_CHARACTERS = 200
        val SILENCE_CHECK = 50.milliseconds
    }
}

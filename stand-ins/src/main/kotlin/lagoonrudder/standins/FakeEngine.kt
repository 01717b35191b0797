/**
 * A fake model engine with continuous batching: it slows down under load, warms up after each start, and crashes when the
 * load far exceeds its capacity.
 *
 * Its output depends on the weights that it holds, so that a caller that knows the version can verify it. An engine that
 * was ordered to load an incomplete version generates different text.
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

    /** The number of responses that were started, completed and cancelled, and the number of crashes. */
    val requestsStarted = AtomicLong()
    val requestsCompleted = AtomicLong()
    val requestsCancelled = AtomicLong()
    val crashes = AtomicInteger()
    val maxInFlight = AtomicInteger()

    /** The versions that were loaded, in order. */
    val loadedVersions = Collections.synchronizedList(mutableListOf<String>())

    /** Whether responses stop in the middle while their connections stay open. */
    @Volatile
    var stalled = false

    /** The version whose load orders are rejected with status 422. */
    @Volatile
    var rejectedVersion: String? = null

    /** Discards all state and comes back after [downTime] as a new incarnation. */
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
        val segments =
            call.request
                .path()
                .split('/')
                .filter { it.isNotEmpty() }
        when (segments.firstOrNull()) {
            "state" -> call.respondText(engineJson.encodeToString(StateJson.serializer(), state()), ContentType.Application.Json)
            "weights" -> storeChunk(call, segments[1], segments[2].toInt())
            "orders" -> order(call, engineJson.decodeFromString(OrderJson.serializer(), call.body().decodeToString()))
            "generate" -> generate(call, engineJson.decodeFromString(GenerateJson.serializer(), call.body().decodeToString()))
            else -> call.respondText("", status = HttpStatusCode.NotFound)
        }
    }

    @Synchronized
    private fun state() = StateJson(incarnation, version, role, fencing.takeIf { traits.checksFencing }, loading)

    private suspend fun storeChunk(
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
        if (order.version.isNotEmpty() && order.version == rejectedVersion) {
            return call.respondText("version can't run", status = HttpStatusCode.UnprocessableEntity)
        }
        if (!acceptFencing(order)) return call.respondText("", status = HttpStatusCode.Conflict)
        if (order.kind != "change-role") load(order)
        call.respondText("")
    }

    @Synchronized
    private fun acceptFencing(order: OrderJson): Boolean {
        if (!traits.checksFencing) return true
        if (order.fencing <= fencing) return false
        fencing = order.fencing
        return true
    }

    private suspend fun load(order: OrderJson) {
        val startIncarnation = incarnation
        loading = true
        delay(traits.loadTime)
        synchronized(this) {
            if (startIncarnation != incarnation) return
            val heldChunks = chunks[order.version].orEmpty()
            partial = heldChunks.size != order.chunks
            version = order.version
            chunks.keys.retainAll(setOf(order.version))
            loading = false
            loadedVersions += order.version
        }
    }

    private suspend fun generate(
        call: ApplicationCall,
        request: GenerateJson,
    ) {
        val servedVersion = version
        val tokens = request.maximumTokens + request.prompt.length / TOKEN_LENGTH.toLong()
        if (servedVersion == null || loading) return call.respondText("", status = HttpStatusCode.ServiceUnavailable)
        admit(tokens)
        val startIncarnation = incarnation
        requestsStarted.incrementAndGet()
        try {
            call.respondBytesWriter(ContentType.Application.Json) { writeResponse(request, servedVersion, startIncarnation) }
            requestsCompleted.incrementAndGet()
        } catch (disconnected: IOException) {
            requestsCancelled.incrementAndGet()
            throw disconnected
        } finally {
            load.release(tokens)
        }
    }

    private fun admit(tokens: Long) {
        val survives = load.admit(tokens, clock.elapsed() - startedAt)
        maxInFlight.accumulateAndGet(load.requests(), ::maxOf)
        if (survives) return
        crashes.incrementAndGet()
        restart()
    }

    private suspend fun ByteWriteChannel.writeResponse(
        request: GenerateJson,
        servedVersion: String,
        startIncarnation: String,
    ) {
        writeLine(EngineLineJson(start = StartJson(startIncarnation, servedVersion)))
        delay(traits.firstTokenDelay * slowdown() + (request.prompt.length / PREFILL_CHARACTERS_PER_MILLISECOND).milliseconds)
        val checksum = CRC32C()
        var offset = request.offset
        val length = request.maximumTokens.toLong() * TOKEN_LENGTH
        while (offset < length) {
            while (stalled) delay(STALL_POLL_INTERVAL)
            if (startIncarnation != incarnation) throw IOException("engine restarted during the response")
            val text = tokenAt(servedVersion, request.prompt, offset, partial)
            checksum.update(text.encodeToByteArray())
            writeLine(EngineLineJson(text = TextJson(offset, text)))
            offset += text.length
            delay(traits.tokenInterval * slowdown())
        }
        writeLine(EngineLineJson(end = EndJson(version ?: "", length, checksum.value)))
    }

    private suspend fun ByteWriteChannel.writeLine(line: EngineLineJson) {
        writeStringUtf8(engineJson.encodeToString(EngineLineJson.serializer(), line) + "\n")
        flush()
    }

    private fun slowdown(): Double = load.slowdown(clock.elapsed() - startedAt)

    private companion object {
        const val INCARNATION_LENGTH = 8
        const val PREFILL_CHARACTERS_PER_MILLISECOND = 200
        val STALL_POLL_INTERVAL = 50.milliseconds
    }
}

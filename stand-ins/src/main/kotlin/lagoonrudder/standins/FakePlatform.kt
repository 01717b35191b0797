/**
 * A fake of the platform's configuration service and instance list: values with generations that can be read and watched.
 * It counts each call; a watch counts as one call however long it waits.
 */
package lagoonrudder.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.Instance
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.wire.documents.HEAD_KEY
import lagoonrudder.wire.documents.SealedDocument
import lagoonrudder.wire.documents.partKey
import lagoonrudder.wire.documents.seal
import lagoonrudder.wire.documents.writeInstances
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

class FakePlatform(
    port: Int = 0,
) : AutoCloseable {
    private class Value(
        val generation: Long,
        val text: String,
    )

    private val values = ConcurrentHashMap<String, MutableStateFlow<Value>>()
    private val instances = LinkedHashMap<DaemonId, Instance>()
    private val server = LoopbackHttpServer(port) { handle(it) }
    private var sealed = ObjectSnapshot.EMPTY

    val address: Address get() = server.address

    /** The number of calls since the start. */
    val calls = AtomicLong()

    /** Whether all calls are rejected with status 503. */
    @Volatile
    var unavailable = false

    /** Seals [set] as the successor of the last published set and publishes it. */
    @Synchronized
    fun publish(set: ObjectSnapshot) {
        val document =
            seal(set, sealed, "published").getOrNull()
                ?: error("can't seal revision ${set.revision.number} after revision ${sealed.revision.number}")
        sealed = set
        publish(document)
    }

    /** Publishes [document] unchanged. */
    fun publish(document: SealedDocument) {
        document.parts.forEach { put(partKey(it.digest), it.text) }
        put(HEAD_KEY, document.head)
    }

    /** The last published set. */
    @Synchronized
    fun currentSnapshot(): ObjectSnapshot = sealed

    @Synchronized
    fun addInstance(instance: Instance) {
        instances[instance.daemon] = instance
        put(INSTANCES_KEY, writeInstances(instances.values))
    }

    @Synchronized
    fun removeInstance(daemon: DaemonId) {
        instances.remove(daemon)
        put(INSTANCES_KEY, writeInstances(instances.values))
    }

    @Synchronized
    fun listedInstances(): List<Instance> = instances.values.toList()

    override fun close() = server.close()

    private fun put(
        key: String,
        text: String,
    ) {
        val state = stateOf(key)
        state.value = Value(state.value.generation + 1, text)
    }

    private fun stateOf(key: String) = values.computeIfAbsent(key) { MutableStateFlow(Value(0, "")) }

    private suspend fun handle(call: ApplicationCall) {
        calls.incrementAndGet()
        if (unavailable) return call.respondText("", status = HttpStatusCode.ServiceUnavailable)
        val segments =
            call.request
                .path()
                .split('/')
                .filter { it.isNotEmpty() }
        when (segments.getOrNull(1)) {
            "values" -> sendValue(call, segments[2])
            "instances" -> sendValue(call, INSTANCES_KEY)
            else -> call.respondText("", status = HttpStatusCode.NotFound)
        }
    }

    private suspend fun sendValue(
        call: ApplicationCall,
        key: String,
    ) {
        val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
        val wait = call.request.queryParameters["wait"]?.toLongOrNull() ?: 0
        val state = stateOf(key)
        val watching = wait > 0
        val value = if (watching) withTimeoutOrNull(wait.milliseconds) { state.first { it.generation > after } } else state.value
        if (value == null) return call.respondText("", status = HttpStatusCode.NoContent)
        if (value.generation == 0L) return call.respondText("", status = HttpStatusCode.NotFound)
        call.response.header("Generation", value.generation.toString())
        delay(RESPONSE_DELAY)
        call.respondText(value.text)
    }

    private companion object {
        const val INSTANCES_KEY = "instances"
        val RESPONSE_DELAY = 2.milliseconds
    }
}

/**
 * Stands for the platform's configuration service and its list of instances: values with generations that can be read and
 * watched. It counts each call, a waiting watch as one.
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

    /** The calls since the start. */
    val calls = AtomicLong()

    /** Whether every call is refused. */
    @Volatile
    var down = false

    /** Seals [set] after the set published last and publishes it. */
    @Synchronized
    fun publish(set: ObjectSnapshot) {
        val document = seal(set, sealed, "published").getOrNull() ?: error("revision ${set.revision.number} can't be sealed")
        sealed = set
        publish(document)
    }

    /** Publishes a document as it is. */
    fun publish(document: SealedDocument) {
        document.parts.forEach { put(partKey(it.digest), it.text) }
        put(HEAD_KEY, document.head)
    }

    /** The set published last. */
    @Synchronized
    fun published(): ObjectSnapshot = sealed

    @Synchronized
    fun list(instance: Instance) {
        instances[instance.daemon] = instance
        put(INSTANCES, writeInstances(instances.values))
    }

    @Synchronized
    fun unlist(daemon: DaemonId) {
        instances.remove(daemon)
        put(INSTANCES, writeInstances(instances.values))
    }

    @Synchronized
    fun listed(): List<Instance> = instances.values.toList()

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
        if (down) return call.respondText("", status = HttpStatusCode.ServiceUnavailable)
        val words =
            call.request
                .path()
                .split('/')
                .filter { it.isNotEmpty() }
        when (words.getOrNull(1)) {
            "values" -> give(call, words[2])
            "instances" -> give(call, INSTANCES)
            else -> call.respondText("", status = HttpStatusCode.NotFound)
        }
    }

    private suspend fun give(
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
        delay(READ_TIME)
        call.respondText(value.text)
    }

    private companion object {
        const val INSTANCES = "instances"
        val READ_TIME = 2.milliseconds
    }
}

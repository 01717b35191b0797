/**
 * Stands for a plain service whose calls may not be repeated: it counts how often each order ran.
 */
package lagoonrudder.standins

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.path
import io.ktor.server.response.respondText
import kotlinx.coroutines.delay
import lagoonrudder.daemon.backend.StateJson
import lagoonrudder.daemon.backend.engineJson
import lagoonrudder.model.Address
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class FakePlainService(
    private val time: Duration = 10.milliseconds,
) : AutoCloseable {
    private val server = LoopbackHttpServer { handle(it) }
    private val incarnation = UUID.randomUUID().toString()

    val address: Address get() = server.address

    /** How often each body ran. */
    val runs = ConcurrentHashMap<String, Int>()

    override fun close() = server.close()

    private suspend fun handle(call: ApplicationCall) {
        if (call.request.path() == "/state") {
            return call.respondText(engineJson.encodeToString(StateJson.serializer(), StateJson(incarnation)))
        }
        val body = call.body().decodeToString()
        runs.merge(body, 1, Int::plus)
        delay(time)
        call.respondText("{\"done\":\"$body\"}", ContentType.Application.Json)
    }
}

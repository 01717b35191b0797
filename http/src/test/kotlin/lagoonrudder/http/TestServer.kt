package lagoonrudder.http

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import lagoonrudder.model.Address
import lagoonrudder.model.CallerLimits
import lagoonrudder.model.Clock
import lagoonrudder.model.SystemClock
import java.util.Collections
import java.util.concurrent.LinkedBlockingQueue
import kotlin.time.Duration.Companion.milliseconds

internal val SHORT_LIMITS =
    CallerLimits(headerBytes = 1_000, bodyBytes = 100, headerTimeout = 300.milliseconds, idleTimeout = 500.milliseconds)

/** A server that answers each request with its body, unless [handler] does otherwise. */
internal class TestServer(
    @Volatile var limits: CallerLimits = SHORT_LIMITS,
    handler: HttpHandler? = null,
    clock: Clock = SystemClock(),
    bodies: BodyMemory = BodyMemory.Unbounded,
) : AutoCloseable {
    private val loop = HttpEventLoop("test")
    val handled: MutableList<HttpRequest> = Collections.synchronizedList(mutableListOf())
    private val echo =
        HttpHandler { exchange ->
            handled += exchange.request
            exchange.respond(200, emptyList(), exchange.request.body)
        }
    val failures = LinkedBlockingQueue<Throwable>()
    private val scope = CoroutineScope(SupervisorJob() + loop.dispatcher + CoroutineExceptionHandler { _, error -> failures += error })
    val reports = LinkedBlockingQueue<ServerReport>()
    val unhandled: List<ServerReport.Unhandled> get() = reports.filterIsInstance<ServerReport.Unhandled>()
    val server =
        HttpServer.start(loop, scope, Address("127.0.0.1", 0), { limits }, { reports += it }, bodies, clock, handler = handler ?: echo)

    fun connect() = scriptedClient(server.port)

    override fun close() {
        server.close()
        loop.close()
    }
}

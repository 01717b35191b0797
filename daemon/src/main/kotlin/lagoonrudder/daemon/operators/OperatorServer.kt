/**
 * The HTTP end for operators and the platform: health, readiness, metrics, status and the dump of every controller.
 */
package lagoonrudder.daemon.operators

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import lagoonrudder.control.DumpSection
import lagoonrudder.control.renderDump
import lagoonrudder.daemon.DaemonCore
import lagoonrudder.daemon.startOn
import lagoonrudder.model.Address

/** What the daemon shows of itself; every function runs on the control thread. */
interface DaemonDiagnostics {
    /** Whether the daemon takes new work. */
    fun ready(): Boolean

    /** A few key=value pairs on one line. */
    fun status(): String

    fun dump(): List<DumpSection>
}

class OperatorServer(
    private val core: DaemonCore,
    private val view: DaemonDiagnostics,
) : AutoCloseable {
    private val address = core.settings.listen.operators
    private val server = embeddedServer(CIO, port = address.port, host = address.host) { routing { routes() } }

    /** Starts the server and returns the address it got. */
    suspend fun start(): Address = server.startOn(address)

    override fun close() {
        server.stop(GRACE_MILLISECONDS, GRACE_MILLISECONDS)
    }

    private fun Route.routes() {
        get("/health") { call.respondText("ok\n") }
        get("/ready") { respondReady(call) }
        get("/metrics") { call.respondText(core.metrics.render()) }
        get("/status") { call.respondText(core.thread.decide { view.status() } + "\n") }
        get("/dump") { call.respondText(renderDump(core.thread.decide { view.dump() }), ContentType.Text.Plain) }
    }

    private suspend fun respondReady(call: ApplicationCall) {
        val ready = core.thread.decide { view.ready() }
        val status = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(if (ready) "ready\n" else "not ready\n", status = status)
    }

    private companion object {
        const val GRACE_MILLISECONDS = 100L
    }
}

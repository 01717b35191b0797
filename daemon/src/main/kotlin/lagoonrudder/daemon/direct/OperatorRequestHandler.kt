/**
 * The address for operators: metrics in the Prometheus text format and the dump of every controller.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.control.DumpSection
import lagoonrudder.control.renderDump
import lagoonrudder.http.HttpExchange
import lagoonrudder.http.HttpHandler
import lagoonrudder.http.NO_BYTES

/** What a daemon shows of itself; both functions run on the control thread. */
interface DirectDiagnostics {
    fun dump(): List<DumpSection>

    /** Gauges by name. */
    fun gauges(): Map<String, Number>
}

class OperatorRequestHandler(
    private val core: DirectCore,
    private val view: DirectDiagnostics,
) : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        when (exchange.request.target) {
            "/metrics" -> exchange.respond(OK, emptyList(), metrics().encodeToByteArray())
            "/dump" -> exchange.respond(OK, emptyList(), core.thread.decide { renderDump(view.dump()) }.encodeToByteArray())
            else -> exchange.respond(NOT_FOUND, emptyList(), NO_BYTES)
        }
    }

    private suspend fun metrics(): String {
        val gauges = core.thread.decide { view.gauges() }
        return core.metrics.render() + gauges.entries.joinToString("") { "lagoonrudder_${it.key} ${it.value}\n" }
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
    }
}

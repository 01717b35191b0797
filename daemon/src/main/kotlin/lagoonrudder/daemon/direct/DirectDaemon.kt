/**
 * A daemon on the direct way, in one of its two roles.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.http.HttpServer
import lagoonrudder.model.DaemonRole

sealed class DirectDaemon(
    protected val core: DirectCore,
) {
    abstract suspend fun start()

    protected fun serveOperators(view: DirectDiagnostics) {
        HttpServer.start(core.loop, core.scope, core.settings.operators, { HttpServer.PEER_LIMITS }, OperatorRequestHandler(core, view))
    }

    /** Takes no new work, finishes what is in hand, and returns within the grace of the settings. */
    abstract suspend fun stop()
}

/** Builds the daemon that the settings of [core] describe. */
fun directDaemon(core: DirectCore): DirectDaemon =
    when (core.settings.role) {
        DaemonRole.ENTRY -> DirectEntryDaemon(core)
        DaemonRole.TARGET -> DirectTargetDaemon(core)
    }

/**
 * The two roles of a daemon in direct mode, in which entry daemons send requests straight to back ends.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.http.HttpServer
import lagoonrudder.model.DaemonRole

sealed class DirectDaemon(
    protected val core: DirectCore,
) {
    abstract suspend fun start()

    protected fun startOperatorServer(diagnostics: DirectDiagnostics) {
        HttpServer.start(
            core.loop,
            core.scope,
            core.settings.operators,
            { HttpServer.PEER_LIMITS },
            handler = OperatorRequestHandler(core, diagnostics),
        )
    }

    /** Stops accepting requests, waits for those in flight, and returns within the grace period of the settings. */
    abstract suspend fun stop()
}

/** Creates the daemon for the role in the settings of [core]. */
fun directDaemon(core: DirectCore): DirectDaemon =
    when (core.settings.role) {
        DaemonRole.ENTRY -> DirectEntryDaemon(core)
        DaemonRole.TARGET -> DirectTargetDaemon(core)
    }

/**
 * A daemon of either role. It has no static state, so several can run in one process.
 */
package lagoonrudder.daemon

import lagoonrudder.daemon.entry.EntryDaemon
import lagoonrudder.daemon.platform.httpClient
import lagoonrudder.daemon.settings.DaemonSettings
import lagoonrudder.daemon.target.TargetDaemon
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonRole

/** Addresses on which a started daemon listens; [callers] is null for target daemons. */
data class DaemonAddresses(
    val rpc: Address,
    val callers: Address?,
    val operators: Address,
)

interface Daemon : AutoCloseable {
    val core: DaemonCore

    /** Starts the servers and the reading of the configuration; returns before the daemon is ready. */
    suspend fun start(): DaemonAddresses

    /** Stops accepting requests, waits for those in flight to end, and closes. */
    suspend fun stop()

    /** Closes immediately, aborting requests in flight. */
    override fun close()
}

/** Creates a daemon from [settings]; [build] may replace the clock or policies. */
fun daemon(
    settings: DaemonSettings,
    build: DaemonOptions.() -> Unit = {},
): Daemon {
    val options = DaemonOptions().apply(build)
    val core = DaemonCore(settings, options, options.http ?: httpClient())
    return when (settings.role) {
        DaemonRole.ENTRY -> EntryDaemon(core)
        DaemonRole.TARGET -> TargetDaemon(core)
    }
}

/**
 * A daemon of either role, as an object without static state, so that many can live in one process.
 */
package lagoonrudder.daemon

import lagoonrudder.daemon.entry.EntryDaemon
import lagoonrudder.daemon.platform.httpClient
import lagoonrudder.daemon.settings.DaemonSettings
import lagoonrudder.daemon.target.TargetDaemon
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonRole

/** Where a started daemon listens; [callers] is null for target daemons. */
data class DaemonAddresses(
    val rpc: Address,
    val callers: Address?,
    val operators: Address,
)

interface Daemon : AutoCloseable {
    val core: DaemonCore

    /** Starts to listen and to ask for the configuration; returns before the daemon is ready. */
    suspend fun start(): DaemonAddresses

    /** Takes no new work, waits until what is in hand has ended, and closes. */
    suspend fun stop()

    /** Ends at once, whatever is in hand. */
    override fun close()
}

/** Builds a daemon from [settings]; [build] exchanges the clock or policies. */
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

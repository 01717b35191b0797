/**
 * The target daemon in direct mode, which runs beside a back end, stages weights on it and orders it to load them.
 */
package lagoonrudder.daemon.direct

import kotlinx.coroutines.launch

class DirectTargetDaemon(
    core: DirectCore,
) : DirectDaemon(core),
    DirectDiagnostics {
    private val client = PeerClient(core.http)
    private val peers = GossipLoop(core, client, loads = { emptyMap() }, storeContactAt = { null }, onChange = {})
    private val store = StoreSyncLoop(core, isNeeded = { !peers.hasRecentReply() || !isConfirmed() }, onChange = {})

    override suspend fun start() {
        val slot = core.settings.slot
        startOperatorServer(this)
        core.scope.launch { peers.run() }
        core.scope.launch { store.run() }
        if (slot != null) core.scope.launch { StagingLoop(core, slot, peers, WeightFetcher(core, client)).run() }
        core.log.info("started", "role" to "target", "service" to slot?.service?.text, "back-end" to slot?.backEnd)
    }

    override suspend fun stop() {
        core.log.info("stopped")
    }

    /** Entry daemons that start at the same time have no state yet, so the first state is read from the store. */
    private suspend fun isConfirmed() = core.thread.decide { core.storeView.confirmed }

    override fun dump() = core.dump()

    override fun gauges() = core.gauges()
}

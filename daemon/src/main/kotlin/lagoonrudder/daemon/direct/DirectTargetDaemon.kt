/**
 * The daemon beside a back end, which brings weights to it and gives it its orders.
 */
package lagoonrudder.daemon.direct

import kotlinx.coroutines.launch

class DirectTargetDaemon(
    core: DirectCore,
) : DirectDaemon(core),
    DirectDiagnostics {
    private val client = PeerClient(core.http)
    private val peers = GossipLoop(core, client, loads = { emptyMap() }, onChange = {})
    private val store = StoreSyncLoop(core, isNeeded = { !peers.hasRecentReply() || !isConfirmed() }, onChange = {})

    override suspend fun start() {
        val slot = core.settings.slot
        serveOperators(this)
        core.scope.launch { peers.run() }
        core.scope.launch { store.run() }
        if (slot != null) core.scope.launch { StagingLoop(core, slot, peers, WeightFetcher(core, client)).run() }
        core.log.info("started", "role" to "target", "service" to slot?.service?.text, "back-end" to slot?.backEnd)
    }

    override suspend fun stop() {
        core.log.info("stopped")
    }

    /** Entry daemons that start beside this one know nothing yet, so the first reading is the store's. */
    private suspend fun isConfirmed() = core.thread.decide { core.storeView.confirmed }

    override fun dump() = core.dump()

    override fun gauges() = core.gauges()
}

/**
 * The daemon beside a back end, which brings weights to it and gives it its orders.
 */
package lagoonrudder.daemon.direct

import kotlinx.coroutines.launch

class DirectTarget(
    core: DirectCore,
) : DirectDaemon(core),
    DirectView {
    private val client = PeerClient(core.http)
    private val peers = PeerLoop(core, client, loads = { emptyMap() }, changed = {})
    private val store = StoreLoop(core, needed = { !peers.heardLately() || !isConfirmed() }, changed = {})

    override suspend fun start() {
        val slot = core.settings.slot
        serveOperators(this)
        core.scope.launch { peers.run() }
        core.scope.launch { store.run() }
        if (slot != null) core.scope.launch { StagingLoop(core, slot, peers, PieceSources(core, client)).run() }
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

/**
 * The daemon beside a back end, which brings weights to it and gives it its orders.
 */
package lagoonrudder.daemon.direct

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

class DirectTarget(
    core: DirectCore,
) : DirectDaemon(core),
    DirectView {
    private val client = PeerClient(core.http)
    private val peers = PeerLoop(core, client, loads = { emptyMap() }, changed = {})
    private val store = StoreLoop(core, needed = { !peers.heardLately() }, changed = {})

    override suspend fun start() {
        val slot = core.settings.slot
        serveOperators(this)
        core.scope.launch { peers.run() }
        core.scope.launch {
            // The entry daemons start beside this one and answer first; the store is for when they don't.
            delay(STORE_AFTER)
            store.run()
        }
        if (slot != null) core.scope.launch { StagingLoop(core, slot, peers, PieceSources(core, client)).run() }
        core.log.info("started", "role" to "target", "service" to slot?.service?.text, "back-end" to slot?.backEnd)
    }

    override suspend fun stop() {
        core.log.info("stopped")
    }

    override fun dump() = core.dump()

    override fun gauges() = core.gauges()

    private companion object {
        val STORE_AFTER = 3_000.milliseconds
    }
}

/**
 * The target daemon in direct mode, which runs beside a back end, stages weights on it and orders it to load them.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.control.direct.DeclaredWeights

class DirectTargetDaemon(
    core: DirectCore,
) : DirectDaemon(core),
    DirectDiagnostics {
    private val client = PeerClient(core.http)
    private val peers = GossipLoop(core, client, loads = { emptyMap() }, onChange = ::onStoreViewChanged)
    private val store = StoreSyncLoop(core, onChange = ::onStoreViewChanged)
    private val staging = core.settings.slot?.let { StagingLoop(core, it, peers, WeightFetcher(core, client)) }
    private var knownVersions = emptyList<DeclaredWeights>()

    override suspend fun start() {
        val slot = core.settings.slot
        startOperatorServer(this)
        core.launchLoop("gossip") { peers.run() }
        core.launchLoop("store") { store.run() }
        if (staging != null) core.launchLoop("staging") { staging.run() }
        core.log.info("started", "role" to "target", "service" to slot?.service?.text, "back-end" to slot?.backEnd)
    }

    override suspend fun stop() {
        core.log.info("stopped")
    }

    /** Runs on the control thread. */
    private fun onStoreViewChanged() {
        val versions = core.storeView.newest
        if (versions != knownVersions) staging?.checkNow()
        knownVersions = versions
    }

    override fun dump() = core.dump()

    override fun gauges() = core.gauges()
}

/**
 * The target daemon in direct mode, which runs beside a back end, stages weights on it and orders it to load them.
 */
package lagoonrudder.daemon.direct

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import lagoonrudder.http.HttpServer
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration.Companion.milliseconds

class DirectTargetDaemon(
    core: DirectCore,
) : DirectDaemon(core),
    DirectDiagnostics {
    private val client = PeerClient(core.http)
    private val peers = GossipLoop(core, client, loads = { emptyMap() }, onChange = ::onStoreViewChanged)
    private val store = StoreSyncLoop(core, onChange = ::onStoreViewChanged)
    private val staging = core.settings.slot?.let { StagingLoop(core, it, peers, WeightFetcher(core, client)) }
    private var knownVersions = emptyMap<ModelId, WeightNumber>()

    override suspend fun start() {
        val slot = core.settings.slot
        startOperatorServer(this)
        startChunkServer()
        core.launchLoop("gossip") { peers.run() }
        core.launchLoop("store") { store.run() }
        core.launchLoop("pauses") { watchPauses() }
        if (staging != null) core.launchLoop("staging") { staging.run() }
        core.log.info("started", "role" to "target", "service" to slot?.service?.text, "back-end" to slot?.backEnd)
    }

    private fun startChunkServer() {
        val address = core.settings.chunks ?: return
        val endpoint = StagedChunkEndpoint(staging?.area ?: return)
        HttpServer.start(core.loop, core.scope, address, { CHUNK_LIMITS }, handler = endpoint)
    }

    override suspend fun stop() {
        core.log.info("stopped")
    }

    /** Runs on the control thread. */
    private fun onStoreViewChanged() {
        val versions = core.storeView.versions.newest
        if (versions != knownVersions) staging?.checkNow()
        knownVersions = versions
    }

    private suspend fun watchPauses() {
        while (currentCoroutineContext().isActive) {
            delay(PAUSE_CHECK_INTERVAL)
            core.thread.decide {
                core.noticePause(PAUSE_CHECK_INTERVAL)
                core.storeView.releaseKept(core.clock.elapsed())
                core.reportKeptConfiguration()
            }
        }
    }

    override fun dump() = core.dump()

    override fun gauges() = core.gauges()

    private companion object {
        val PAUSE_CHECK_INTERVAL = 500.milliseconds

        /** Requests for chunks have no body. */
        val CHUNK_LIMITS = HttpServer.PEER_LIMITS.copy(bodyBytes = 1_024)
    }
}

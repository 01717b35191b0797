/**
 * Checks at a target daemon that has restarted whether the process before it may have sent an order that can still be accepted.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.control.direct.BackEndReport
import lagoonrudder.control.direct.EarlierOrder
import lagoonrudder.control.direct.EarlierOrderState
import lagoonrudder.control.direct.LoadOrder
import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.model.WeightNumber

class EarlierOrderCheck(
    private val core: DirectCore,
    private val area: StagingArea,
    private val fetcher: WeightFetcher,
) {
    /**
     * Returns whether the chunks that a process before this one left may be replaced by those of [wanted], if need be once the back end is
     * closed. If it may have sent an order that can still be accepted and whose version is known, that order becomes this process's to
     * settle, and the back end is closed until then.
     */
    suspend fun mayReplaceChunks(
        wanted: WeightManifest,
        report: BackEndReport,
    ): Boolean {
        if (core.thread.decide { core.loadOrders.earlierOrder } != EarlierOrderState.Unexamined) return true
        val staged = area.digests(wanted) ?: return false
        // Former manifests may have to come from the origin, whose link is scarce when many daemons have restarted.
        val former = if (null in staged || staged == wanted.digests) emptyList() else olderManifests(wanted, report)
        val earlier = EarlierOrder.of(staged, listOf(wanted) + former, report.held?.number)
        core.log.info("earlier-order", "possible" to describe(earlier), "wanted" to wanted.number.number, "known" to former.size + 1)
        return core.thread.decide {
            when (earlier) {
                EarlierOrder.None -> {
                    core.loadOrders.onNoEarlierOrder()
                    true
                }
                EarlierOrder.PossibleForUnknownVersion -> {
                    core.loadOrders.onUnnamedEarlierOrder()
                    true
                }
                is EarlierOrder.Possible -> {
                    val isComplete = staged == earlier.manifest.digests
                    val isWanted = earlier.manifest.number == wanted.number
                    val order = LoadOrder(earlier.manifest, report.born, report.orders)
                    if (isComplete || !isWanted) core.loadOrders.onClosed(earlier.manifest.number.takeIf { isComplete })
                    if (!isWanted) core.loadOrders.onUnanswered(order, core.clock.elapsed())
                    isWanted
                }
            }
        }
    }

    private fun describe(earlier: EarlierOrder): Any =
        when (earlier) {
            EarlierOrder.None -> "none"
            EarlierOrder.PossibleForUnknownVersion -> "unknown"
            is EarlierOrder.Possible -> earlier.manifest.number.number
        }

    /** Returns the manifests of the versions that may have been staged before [wanted], as far as they can be had. */
    private suspend fun olderManifests(
        wanted: WeightManifest,
        report: BackEndReport,
    ): List<WeightManifest> {
        val before = (1..FORMER_VERSIONS).map { WeightNumber(wanted.number.number - it) }.filter { it > NO_VERSION }
        val numbers = (before + listOfNotNull(report.held?.number)).distinct() - wanted.number
        return numbers.mapNotNull { number ->
            val sources = core.thread.decide { core.staging.sources(wanted.model, number, MANIFEST_INDEX, core.clock.elapsed()) }
            fetcher.manifest(sources, wanted.model, number).getOrNull()
        }
    }

    private companion object {
        const val MANIFEST_INDEX = -1
        val NO_VERSION = WeightNumber(0)

        /** Entry daemons keep the manifests of former versions, the origin only the last one. */
        const val FORMER_VERSIONS = 3
    }
}

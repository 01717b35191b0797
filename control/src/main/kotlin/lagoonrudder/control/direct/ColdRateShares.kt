/**
 * The share of this daemon in the requests that a back end bears in a second while it is cold.
 *
 * Daemons share the rate without asking each other. Where there are more of them than requests, only some may use a back end: those of its
 * failure domain first, then others by a hash, so that every daemon has back ends to use in each domain.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.BackEnd
import lagoonrudder.model.TargetId
import lagoonrudder.model.rendezvousScore
import kotlin.time.Duration

internal class ColdRateShares(
    private val peers: PeerController,
) {
    private val isAmongFirst = mutableMapOf<TargetId, Boolean>()
    private var membership = -1L

    /** Returns how many of the [total] requests that [backEnd] bears may come from this daemon. */
    fun maxRequests(
        backEnd: BackEnd,
        total: Double,
        now: Duration,
    ): Double {
        val share = total / peers.entryCount(now)
        if (share >= 1) return share
        if (membership != peers.membership) {
            isAmongFirst.clear()
            membership = peers.membership
        }
        val mayUse = isAmongFirst.getOrPut(backEnd.id) { rank(backEnd) < total.toInt().coerceAtLeast(1) }
        return if (mayUse) 1.0 else 0.0
    }

    /** Returns how many entry daemons precede this one at [backEnd]. */
    private fun rank(backEnd: BackEnd): Int {
        val order = compareBy<PeerDaemon>({ it.domain != backEnd.domain }, { rendezvousScore(backEnd.id.text, it.daemon.text) })
        return peers.otherEntries.count { order.compare(it, peers.self) < 0 }
    }
}

/**
 * The share of this daemon in the requests that a back end bears in a second while it is cold.
 *
 * Daemons share the rate without asking each other. Where there are more of them than requests, only some may use a back end: those of its
 * failure domain first, then others by a hash, so that every daemon has back ends to use in each domain.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.BackEnd
import lagoonrudder.model.TargetId
import lagoonrudder.model.rendezvousOrder
import kotlin.time.Duration

internal class ColdRateShares(
    private val peers: PeerController,
) {
    /** How many entry daemons precede this one at each back end, as long as the same daemons are known. */
    private val ranks = mutableMapOf<TargetId, Int>()
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
            ranks.clear()
            membership = peers.membership
        }
        val rank = ranks.getOrPut(backEnd.id) { rankAt(backEnd) }
        return if (rank < total.toInt().coerceAtLeast(1)) 1.0 else 0.0
    }

    /** Forgets the back ends that are not [listed] any more. */
    fun retain(listed: (TargetId) -> Boolean) {
        ranks.keys.retainAll(listed)
    }

    private fun rankAt(backEnd: BackEnd): Int {
        val entries = rendezvousOrder(backEnd.id.text, peers.otherEntries + peers.self) { it.daemon.text }
        return entries.sortedBy { it.domain != backEnd.domain }.indexOf(peers.self)
    }
}

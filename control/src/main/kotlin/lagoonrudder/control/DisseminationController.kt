/**
 * Controls which daemons watch the platform, and to which peers a new revision is forwarded.
 *
 * In each failure domain the first few live daemons in rendezvous order hold the watch. A revision is forwarded down a tree
 * of the domain's daemons. The order of the tree differs for each revision, so that no daemon is always near the root. A
 * daemon that the tree missed receives the revision in its periodic exchange with a random peer. Different views of the
 * live list cause duplicate or missed messages, but never a wrong result.
 */
package lagoonrudder.control

import lagoonrudder.model.DaemonId
import lagoonrudder.model.Revision
import lagoonrudder.model.rendezvousOrder
import kotlin.random.Random

/** How revisions reach the daemons of a failure domain. */
sealed class DisseminationPolicy {
    /** Every daemon holds its own watch; a baseline for comparison. */
    data object WatchAll : DisseminationPolicy()

    /** [watchers] daemons hold the watch, and each daemon forwards a revision to [fanOut] others. */
    data class Tree(
        val watchers: Int = 2,
        val fanOut: Int = 4,
    ) : DisseminationPolicy()
}

class DisseminationController(
    private val self: DaemonId,
    private val policy: DisseminationPolicy,
    private val random: Random,
) {
    /** Whether this daemon should hold a watch, given the live daemons of its domain including itself. */
    fun shouldWatch(live: Collection<DaemonId>): Boolean =
        when (policy) {
            DisseminationPolicy.WatchAll -> true
            is DisseminationPolicy.Tree -> self in order(WATCH_KEY, live + self).take(policy.watchers)
        }

    /** Returns the children of this daemon in the tree of [revision]. */
    fun children(
        revision: Revision,
        live: Collection<DaemonId>,
    ): List<DaemonId> =
        when (policy) {
            DisseminationPolicy.WatchAll -> emptyList()
            is DisseminationPolicy.Tree -> treeChildren(policy, revision, live)
        }

    /** Returns a random peer for an exchange, or null if there is none. */
    fun exchangePeer(live: Collection<DaemonId>): DaemonId? = (live - self).toList().randomOrNull(random)

    private fun treeChildren(
        policy: DisseminationPolicy.Tree,
        revision: Revision,
        live: Collection<DaemonId>,
    ): List<DaemonId> {
        val allDaemons = (live + self).distinct()
        val roots = order(WATCH_KEY, allDaemons).take(policy.watchers)
        val others = order("$REVISION_KEY_PREFIX${revision.number}", allDaemons - roots.toSet())
        val sequence = roots + others
        val position = sequence.indexOf(self)
        val first = roots.size + position * policy.fanOut
        return sequence.drop(first).take(policy.fanOut)
    }

    private fun order(
        key: String,
        daemons: Collection<DaemonId>,
    ): List<DaemonId> = rendezvousOrder(key, daemons.distinct()) { it.text }

    private companion object {
        const val WATCH_KEY = "watch"
        const val REVISION_KEY_PREFIX = "revision-"
    }
}

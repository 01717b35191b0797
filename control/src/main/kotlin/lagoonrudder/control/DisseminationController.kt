/**
 * Decides who watches the platform and whom a new revision is passed to.
 *
 * In each failure domain the first few live daemons in rendezvous order hold the watch. A revision travels down a tree
 * over the domain's daemons; its order is drawn anew for each revision, so that no daemon is always near the root. A
 * daemon that the tree missed finds the revision in its periodic exchange with a random peer. Different views of the
 * live list cost duplicate or missed messages, never a wrong result.
 */
package lagoonrudder.control

import lagoonrudder.model.DaemonId
import lagoonrudder.model.Revision
import lagoonrudder.model.rendezvousOrder
import kotlin.random.Random

/** How revisions reach the daemons of a failure domain. */
sealed class DisseminationPolicy {
    /** Every daemon holds a watch of its own: the baseline. */
    data object WatchAll : DisseminationPolicy()

    /** [watchers] daemons hold the watch and each daemon passes a revision on to [fanOut] others. */
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
    /** Whether this daemon holds a watch, given the live daemons of its domain, itself among them. */
    fun shouldWatch(live: Collection<DaemonId>): Boolean =
        when (policy) {
            DisseminationPolicy.WatchAll -> true
            is DisseminationPolicy.Tree -> self in order(WATCH_SUBJECT, live + self).take(policy.watchers)
        }

    /** The daemons to pass [revision] on to, one hop further down the tree. */
    fun children(
        revision: Revision,
        live: Collection<DaemonId>,
    ): List<DaemonId> =
        when (policy) {
            DisseminationPolicy.WatchAll -> emptyList()
            is DisseminationPolicy.Tree -> treeChildren(policy, revision, live)
        }

    /** A random peer for an exchange, or null when there is none. */
    fun exchangePeer(live: Collection<DaemonId>): DaemonId? = (live - self).toList().randomOrNull(random)

    private fun treeChildren(
        policy: DisseminationPolicy.Tree,
        revision: Revision,
        live: Collection<DaemonId>,
    ): List<DaemonId> {
        val all = (live + self).distinct()
        val roots = order(WATCH_SUBJECT, all).take(policy.watchers)
        val rest = order("$REVISION_SUBJECT${revision.number}", all - roots.toSet())
        val line = roots + rest
        val position = line.indexOf(self)
        val first = roots.size + position * policy.fanOut
        return line.drop(first).take(policy.fanOut)
    }

    private fun order(
        subject: String,
        daemons: Collection<DaemonId>,
    ): List<DaemonId> = rendezvousOrder(subject, daemons.distinct()) { it.text }

    private companion object {
        const val WATCH_SUBJECT = "watch"
        const val REVISION_SUBJECT = "revision-"
    }
}

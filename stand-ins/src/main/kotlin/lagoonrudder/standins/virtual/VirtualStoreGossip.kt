/**
 * The exchanges between daemons in virtual time, with the intervals of the real loops. Only the one that asks learns from the reply since
 * when something has been so.
 */
package lagoonrudder.standins.virtual

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lagoonrudder.control.direct.DecodedItem
import lagoonrudder.control.direct.LoadReport
import lagoonrudder.control.direct.StoreContact
import lagoonrudder.control.direct.StoreItem
import lagoonrudder.control.direct.StorePosition
import lagoonrudder.model.EventTime
import lagoonrudder.model.StoreRecord
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class VirtualStoreGossip(
    private val scope: CoroutineScope,
    private val random: Random,
    private val daemons: List<VirtualStoreDaemon>,
    private val targets: List<VirtualStoreDaemon>,
    private val clockOf: (VirtualStoreDaemon) -> Duration,
    private val recordOf: (StoreItem) -> StoreRecord?,
    private val onItemsApplied: (VirtualStoreDaemon) -> Unit,
) {
    private val daemonsByDomain = daemons.groupBy { it.peer.domain }

    fun launchAll() {
        daemonsByDomain.values.forEach { members -> scope.launch { gossipWithin(members) } }
        daemons.forEach { scope.launch { gossipWithRandomMembers(it) } }
        targets.forEach { scope.launch { gossipOfTarget(it) } }
    }

    /** A target daemon asks one entry daemon at a time, preferably of its domain, and accepts no messages. */
    private suspend fun gossipOfTarget(target: VirtualStoreDaemon) {
        while (true) {
            val entry =
                daemons.filter { canExchange(target, it) }.let { all ->
                    all.firstOrNull { it.peer.domain == target.peer.domain }
                        ?: all.firstOrNull()
                }
            if (entry != null) {
                tellVersionsOfMessage(target, entry)
                entry.peers.onGossipReceived(target.peer, NO_LOAD, null, clockOf(entry))
                target.peers.onGossipReceived(entry.peer, NO_LOAD, entry.reader.contactAge(clockOf(entry)), clockOf(target))
                sendItems(entry, target, entry.storeView.settledPosition)
            }
            delay(TARGET_EXCHANGE_INTERVAL)
        }
    }

    private suspend fun gossipWithin(members: List<VirtualStoreDaemon>) {
        while (true) {
            for ((index, first) in members.withIndex()) {
                for (second in members.drop(index + 1)) exchange(first, second)
            }
            delay(NEAR_EXCHANGE_INTERVAL)
        }
    }

    private suspend fun gossipWithRandomMembers(daemon: VirtualStoreDaemon) {
        delay(FAR_EXCHANGE_INTERVAL * random.nextDouble())
        while (true) {
            for ((domain, members) in daemonsByDomain) if (domain != daemon.peer.domain) exchange(daemon, members.random(random))
            if (daemonsByDomain.size == 1) (daemons - daemon).randomOrNull(random)?.let { exchange(daemon, it) }
            delay(FAR_EXCHANGE_INTERVAL)
        }
    }

    private fun exchange(
        first: VirtualStoreDaemon,
        second: VirtualStoreDaemon,
    ) {
        if (!canExchange(first, second)) return
        second.storeView.storeContact?.let { first.storeView.onStoreHeard(it.toldBy(second, first)) }
        first.storeView.storeContact?.let { tell(first, it, second) }
        tellVersions(sender = second, receiver = first)
        tellVersionsOfMessage(sender = first, receiver = second)
        for ((receiver, sender) in listOf(first to second, second to first)) {
            receiver.peers.onGossipReceived(sender.peer, NO_LOAD, sender.reader.contactAge(clockOf(sender)), clockOf(receiver))
            val settled = sender.storeView.settledPosition
            val isOutdated = receiver.storeView.isOutdatedBy(settled, sender.storeView.serving?.revision)
            if (!isOutdated && !receiver.storeView.isSettling(clockOf(receiver))) continue
            scope.launch {
                delay(EXCHANGE_TIME)
                if (canExchange(receiver, sender)) sendItems(sender, receiver, settled)
            }
        }
    }

    private fun sendItems(
        sender: VirtualStoreDaemon,
        receiver: VirtualStoreDaemon,
        settled: StorePosition,
    ) {
        val sent = sender.storeView.itemsSince(receiver.storeView.at, receiver.storeView.serving?.revision)
        val changes = sent.items.map { DecodedItem(it, recordOf(it)) }
        if (sent.isComplete) {
            receiver.storeView.applySettledSnapshot(changes, settled, clockOf(receiver))
        } else {
            receiver.storeView.applySettledChanges(changes, settled, clockOf(receiver))
        }
        tellVersions(sender, receiver)
        onItemsApplied(receiver)
    }

    /** Lets [receiver] learn from a message of [sender], which may have been under way for any time. */
    private fun tellVersionsOfMessage(
        sender: VirtualStoreDaemon,
        receiver: VirtualStoreDaemon,
    ) {
        val now = clockOf(receiver)
        val difference = now - clockOf(sender)
        val told =
            sender.storeView.versions.toTell(clockOf(sender)).map {
                it.copy(time = EventTime(-Duration.INFINITE, it.time.latest + difference))
            }
        receiver.storeView.versions.onTold(told, askedAt = now)
    }

    /** Lets [receiver] learn from a reply of [sender], after its items. */
    private fun tellVersions(
        sender: VirtualStoreDaemon,
        receiver: VirtualStoreDaemon,
    ) {
        val askedAt = clockOf(receiver)
        val difference = clockOf(receiver) - clockOf(sender)
        val told =
            sender.storeView.versions.toTell(clockOf(sender)).map {
                it.copy(time = EventTime(it.time.earliest + difference, it.time.latest + difference))
            }
        receiver.storeView.versions.onTold(told, askedAt)
        val upToDateAge = sender.storeView.upToDateAge(clockOf(sender)) ?: return
        receiver.storeView.onUpToDateHeard(sender.storeView.settledPosition, askedAt - upToDateAge, askedAt)
    }

    private fun canExchange(
        first: VirtualStoreDaemon,
        second: VirtualStoreDaemon,
    ): Boolean = listOf(first, second).all { it.isRunning && it.isReachable }

    /** Returns this contact of [sender] on the clock of [receiver]. */
    private fun StoreContact.toldBy(
        sender: VirtualStoreDaemon,
        receiver: VirtualStoreDaemon,
    ): StoreContact {
        val difference = clockOf(receiver) - clockOf(sender)
        return StoreContact(since + difference, until + difference)
    }

    /** Lets [receiver] learn from a request of [sender], which knows of [contact], and ask it if the request can't tell enough. */
    private fun tell(
        sender: VirtualStoreDaemon,
        contact: StoreContact,
        receiver: VirtualStoreDaemon,
    ) {
        val told = contact.toldBy(sender, receiver)
        sender.reader.contactAge(clockOf(sender))?.let {
            receiver.storeView.onStoreHeard(StoreContact(told.since, clockOf(receiver) - it))
        }
        if (!receiver.storeView.isGraceRefutedBy(told.since, clockOf(receiver))) return
        scope.launch {
            delay(EXCHANGE_TIME)
            sender.storeView.storeContact?.let { receiver.storeView.onStoreHeard(it.toldBy(sender, receiver)) }
        }
    }

    private companion object {
        val NO_LOAD = LoadReport(emptyMap(), 1)
        val EXCHANGE_TIME = 6.milliseconds
        val NEAR_EXCHANGE_INTERVAL = 100.milliseconds
        val FAR_EXCHANGE_INTERVAL = 450.milliseconds
        val TARGET_EXCHANGE_INTERVAL = 400.milliseconds
    }
}

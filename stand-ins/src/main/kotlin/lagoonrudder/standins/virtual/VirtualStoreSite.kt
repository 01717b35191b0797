/**
 * Entry daemons of several failure domains that read a platform's store and gossip about it, in virtual time.
 *
 * The decisions are those of the product: its controllers of the store reader, the store view and the peers. Only the calls to the store
 * and the exchanges between daemons are stand-ins, with the intervals and timeouts of the real loops.
 */
@file:OptIn(ExperimentalCoroutinesApi::class)

package lagoonrudder.standins.virtual

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.direct.DecodedItem
import lagoonrudder.control.direct.LoadReport
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.StoreContact
import lagoonrudder.control.direct.StoreItem
import lagoonrudder.control.direct.StoreReaderController
import lagoonrudder.control.direct.StoreStep
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.CallerLimits
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.Failure
import lagoonrudder.model.Invariants
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.RegionId
import lagoonrudder.model.Revision
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.Step
import lagoonrudder.model.StoreRecord
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How the store treats the calls of one daemon. */
sealed class StoreTreatment {
    data object Answers : StoreTreatment()

    /** Refuses each call at once. */
    data object Refuses : StoreTreatment()

    /** Gives no response, and the connection stays open. */
    data object Silent : StoreTreatment()

    /** Answers [factor] times later than usual. */
    data class Slow(
        val factor: Int,
    ) : StoreTreatment()
}

/** An entry daemon with what it knows; [treatment] is that of its calls. A start forgets all that it knew. */
class VirtualStoreDaemon(
    val peer: PeerDaemon,
) {
    var treatment: StoreTreatment = StoreTreatment.Answers
    var peers = PeerController(peer, emptyList())
        private set
    var storeView = StoreViewController(Invariants {})
        private set
    var reader = StoreReaderController(peers, storeView)
        private set

    /** When each revision of the configuration came into force here. */
    val inForceAt = mutableMapOf<Revision, Duration>()

    /** The calls to the store; null while the process is stopped or paused. */
    internal var reading: Job? = null

    val isRunning: Boolean get() = reading != null

    internal fun forgetAll() {
        peers = PeerController(peer, emptyList())
        storeView = StoreViewController(Invariants {})
        reader = StoreReaderController(peers, storeView)
    }
}

/** [domains] failure domains with [daemonsPerDomain] entry daemons each. */
class VirtualStoreSite(
    domains: Int,
    daemonsPerDomain: Int,
    seed: Int = 1,
) : AutoCloseable {
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler))
    private val random = Random(seed)
    private val items = sortedMapOf<String, DecodedItem>()
    private val records = mutableMapOf<StoreItem, StoreRecord?>()
    private var revision = 1L
    private var cuts = 0
    val daemons =
        (0 until domains * daemonsPerDomain).map { index ->
            val domain = "domain-${index % domains}"
            val address = Address("10.${index / PORTS_PER_HOST}.0.1", 1 + index % PORTS_PER_HOST)
            VirtualStoreDaemon(PeerDaemon(DaemonId("entry-$index"), DaemonRole.ENTRY, DomainId(domain), RegionId(domain), address))
        }
    private val daemonsByDomain = daemons.groupBy { it.peer.domain }

    /** The number of calls to the store so far, answered or not. */
    var calls = 0
        private set

    val now: Duration get() = scheduler.currentTime.milliseconds

    init {
        publish(Revision(1))
        daemons.forEach { it.reading = launchReading(it) }
        scope.launch { expireRemovals() }
        daemonsByDomain.values.forEach { members -> scope.launch { gossipWithin(members) } }
        daemons.forEach { scope.launch { gossipWithOtherDomains(it) } }
    }

    /** Lets [duration] pass. */
    fun advance(duration: Duration) {
        scheduler.advanceTimeBy(duration)
        scheduler.runCurrent()
    }

    /** Ends the process of [daemon]. */
    fun stop(daemon: VirtualStoreDaemon) {
        daemon.reading?.cancel()
        daemon.reading = null
    }

    /** Starts the process of [daemon] anew. */
    fun start(daemon: VirtualStoreDaemon) {
        daemon.forgetAll()
        daemon.reading = launchReading(daemon)
    }

    /** Suspends the process of [daemon] for [duration]. */
    fun pause(
        daemon: VirtualStoreDaemon,
        duration: Duration,
    ) {
        stop(daemon)
        scope.launch {
            delay(duration)
            daemon.storeView.onPaused(duration)
            daemon.reader.onPollRequested()
            daemon.reading = launchReading(daemon)
        }
    }

    private fun launchReading(daemon: VirtualStoreDaemon) = scope.launch { readStore(daemon) }

    /** Writes a configuration to the store; its acknowledgement comes at once. */
    fun publish(configuration: Revision) {
        val serving = ServingConfiguration(configuration, emptyList(), emptyList(), emptyList(), LIMITS)
        write(CONFIGURATION_KEY, StoreRecord.Configuration(serving))
    }

    /** Writes the registration of [backEnd] to the store. */
    fun register(backEnd: BackEnd) = write(keyOf(backEnd), StoreRecord.Registered(backEnd))

    /** Removes the registration of [backEnd] from the store. */
    fun remove(backEnd: BackEnd) = write(keyOf(backEnd), null)

    private fun keyOf(backEnd: BackEnd) = "servers/${backEnd.id.text}"

    private fun write(
        key: String,
        record: StoreRecord?,
    ) {
        revision++
        val item = StoreItem(key, revision, if (record == null) null else ByteArray(0))
        records[item] = record
        items[key] = DecodedItem(item, record)
    }

    /** Ends all watches that are waiting without an answer; new ones are taken at once. */
    fun cutWatches() {
        cuts++
    }

    /** Returns the daemons that the store answered last in each failure domain. */
    fun readers(): List<VirtualStoreDaemon> =
        daemonsByDomain.values.mapNotNull { members ->
            members.filter { it.isRunning && it.reader.contactAge(now) != null }.minByOrNull { checkNotNull(it.reader.contactAge(now)) }
        }

    override fun close() {
        scope.cancel()
        scheduler.runCurrent()
    }

    private suspend fun readStore(daemon: VirtualStoreDaemon) {
        while (true) {
            when (val step = daemon.reader.next(now)) {
                is StoreStep.Rest -> delay(step.duration)
                StoreStep.ReadAll ->
                    call(daemon, 0, Duration.ZERO) { changes, at ->
                        daemon.reader.onItemsRead(now)
                        daemon.storeView.applySnapshot(changes.filter { it.item.value != null }, at, now)
                    }
                is StoreStep.Watch ->
                    call(daemon, step.after, step.wait) { changes, at ->
                        daemon.reader.onWatched(changes.size, now)
                        daemon.storeView.applyChanges(changes, at, now)
                    }
            }
        }
    }

    private suspend fun call(
        daemon: VirtualStoreDaemon,
        after: Long,
        wait: Duration,
        onAnswer: (List<DecodedItem>, Long) -> Unit,
    ) {
        calls++
        val failure = failureOf(daemon, after, wait)
        if (failure != null) {
            daemon.reader.onFailure(failure, now)
            return
        }
        onAnswer(items.values.filter { it.item.revision > after }, revision)
        recordInForce(daemon)
    }

    /** Waits for the answer of the store and returns why there is none. */
    private suspend fun failureOf(
        daemon: VirtualStoreDaemon,
        after: Long,
        wait: Duration,
    ): Failure? {
        val limit = wait + READ_TIMEOUT
        val result =
            withTimeoutOrNull(limit) { awaitAnswer(daemon, after, wait) } ?: return Failure.TimedOut(Step.READ_PLATFORM, STORE, limit)
        return when (result) {
            StoreResult.ANSWERED -> null
            StoreResult.REFUSED -> Failure.Declined(Step.READ_PLATFORM, STORE, "refused")
            StoreResult.CUT -> Failure.Interrupted(Step.READ_PLATFORM, STORE, "connection closed")
        }
    }

    private enum class StoreResult { ANSWERED, REFUSED, CUT }

    private suspend fun awaitAnswer(
        daemon: VirtualStoreDaemon,
        after: Long,
        wait: Duration,
    ): StoreResult {
        val until = now + wait
        val cutsBefore = cuts
        while (revision <= after && now < until && daemon.treatment != StoreTreatment.Refuses) {
            delay(WATCH_CHECK_INTERVAL)
            if (cuts > cutsBefore) return StoreResult.CUT
        }
        when (val treatment = daemon.treatment) {
            StoreTreatment.Answers -> delay(ANSWER_TIME)
            is StoreTreatment.Slow -> delay(ANSWER_TIME * treatment.factor)
            StoreTreatment.Silent -> awaitCancellation()
            StoreTreatment.Refuses -> {
                delay(ANSWER_TIME)
                return StoreResult.REFUSED
            }
        }
        return StoreResult.ANSWERED
    }

    private suspend fun expireRemovals() {
        while (true) {
            daemons.filter { it.isRunning }.forEach { it.storeView.expire(now) }
            delay(TICK_INTERVAL)
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

    private suspend fun gossipWithOtherDomains(daemon: VirtualStoreDaemon) {
        delay(FAR_EXCHANGE_INTERVAL * random.nextDouble())
        while (true) {
            for ((domain, members) in daemonsByDomain) if (domain != daemon.peer.domain) exchange(daemon, members.random(random))
            delay(FAR_EXCHANGE_INTERVAL)
        }
    }

    private fun exchange(
        first: VirtualStoreDaemon,
        second: VirtualStoreDaemon,
    ) {
        if (!first.isRunning || !second.isRunning) return
        second.storeView.storeContact?.let { first.storeView.onStoreHeard(it) }
        first.storeView.storeContact?.let { tell(first, it, second) }
        for ((receiver, sender) in listOf(first to second, second to first)) {
            receiver.peers.onGossipReceived(sender.peer, NO_LOAD, sender.reader.contactAge(now), now)
            val settled = sender.storeView.settledRevision
            if (settled <= receiver.storeView.at) continue
            scope.launch {
                delay(EXCHANGE_TIME)
                if (!receiver.isRunning || !sender.isRunning) return@launch
                val sent = sender.storeView.itemsSince(receiver.storeView.at)
                val changes = sent.items.map { DecodedItem(it, records[it]) }
                if (sent.isComplete) {
                    receiver.storeView.applySettledSnapshot(changes, settled, now)
                } else {
                    receiver.storeView.applySettledChanges(changes, settled, now)
                }
                recordInForce(receiver)
            }
        }
    }

    /** Lets [receiver] learn from a request of [sender], which knows of [contact], and ask it if the request can't tell enough. */
    private fun tell(
        sender: VirtualStoreDaemon,
        contact: StoreContact,
        receiver: VirtualStoreDaemon,
    ) {
        sender.reader.contactAge(now)?.let { receiver.storeView.onStoreHeard(StoreContact(contact.since, now - it)) }
        if (!receiver.storeView.isGraceRefutedBy(contact.since, now)) return
        scope.launch {
            delay(EXCHANGE_TIME)
            sender.storeView.storeContact?.let { receiver.storeView.onStoreHeard(it) }
        }
    }

    private fun recordInForce(daemon: VirtualStoreDaemon) {
        val serving = daemon.storeView.serving ?: return
        daemon.inForceAt.getOrPut(serving.revision) { now }
    }

    private companion object {
        const val CONFIGURATION_KEY = "op/config"
        const val PORTS_PER_HOST = 250
        val LIMITS = CallerLimits(8_192, 65_536, 1.seconds, 5.seconds)
        val NO_LOAD = LoadReport(emptyMap(), 1)
        val ANSWER_TIME = 4.milliseconds
        val STORE = Peer(PeerRole.PLATFORM, "store")
        val READ_TIMEOUT = 1.seconds
        val TICK_INTERVAL = 100.milliseconds
        val WATCH_CHECK_INTERVAL = 5.milliseconds
        val EXCHANGE_TIME = 6.milliseconds
        val NEAR_EXCHANGE_INTERVAL = 100.milliseconds
        val FAR_EXCHANGE_INTERVAL = 450.milliseconds
    }
}

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
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.direct.DecodedItem
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.StoreEra
import lagoonrudder.control.direct.StoreItem
import lagoonrudder.control.direct.StorePosition
import lagoonrudder.control.direct.StoreRevision
import lagoonrudder.control.direct.StoreStep
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.CallerAccess
import lagoonrudder.model.CallerLimits
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.Failure
import lagoonrudder.model.ModelId
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.RegionId
import lagoonrudder.model.Revision
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.Step
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.WeightNumber
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a store held at one time, to restore it from. */
class StoreCopy internal constructor(
    internal val items: List<DecodedItem>,
    internal val revision: Long,
)

/** [domains] failure domains with [daemonsPerDomain] entry daemons and [targetsPerDomain] target daemons each. */
class VirtualStoreSite(
    domains: Int,
    daemonsPerDomain: Int,
    seed: Int = 1,
    targetsPerDomain: Int = 0,
) : AutoCloseable {
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler))
    private val random = Random(seed)
    private val items = sortedMapOf<String, DecodedItem>()
    private val records = mutableMapOf<StoreItem, StoreRecord?>()
    private var era = StoreEra.UNSTATED
    private var revision = 1L
    private val position: StorePosition get() = StorePosition(era, StoreRevision(revision))
    private var cuts = 0
    val daemons =
        (0 until domains * daemonsPerDomain).map { index ->
            val domain = "domain-${index % domains}"
            val address = Address("10.${index / PORTS_PER_HOST}.0.1", 1 + index % PORTS_PER_HOST)
            VirtualStoreDaemon(PeerDaemon(DaemonId("entry-$index"), DaemonRole.ENTRY, DomainId(domain), RegionId(domain), address))
        }
    val targets =
        (0 until domains * targetsPerDomain).map { index ->
            val domain = "domain-${index % domains}"
            VirtualStoreDaemon(PeerDaemon(DaemonId("target-$index"), DaemonRole.TARGET, DomainId(domain), RegionId(domain), address = null))
        }
    private val daemonsByDomain = daemons.groupBy { it.peer.domain }

    /** The number of calls to the store so far, answered or not. */
    var calls = 0
        private set

    val now: Duration get() = scheduler.currentTime.milliseconds

    init {
        publish(Revision(1))
        (daemons + targets).forEach { it.reading = launchReading(it) }
        scope.launch { expireRemovals() }
        VirtualStoreGossip(scope, random, daemons, targets, ::clockOf, { records[it] }, ::recordInForce).launchAll()
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
        daemon.forgetAll(clockOf(daemon))
        daemon.reading = launchReading(daemon)
    }

    /** Cuts [daemon] off from all others and the store, or ends that. */
    fun setReachable(
        daemon: VirtualStoreDaemon,
        reachable: Boolean,
    ) {
        daemon.isReachable = reachable
        daemon.treatment = if (reachable) StoreTreatment.Answers else StoreTreatment.Silent
    }

    /** Freezes the process of [daemon] for [duration], which its clock counts. */
    fun pause(
        daemon: VirtualStoreDaemon,
        duration: Duration,
    ) = pause(daemon, duration, uncounted = Duration.ZERO)

    private fun pause(
        daemon: VirtualStoreDaemon,
        duration: Duration,
        uncounted: Duration,
    ) {
        val isWatching = daemon.reader.contactAge(clockOf(daemon)) != null
        val askedAt = clockOf(daemon)
        stop(daemon)
        scope.launch {
            delay(duration)
            // The answer to a watch waits at the connection, so it is read before the process notices its pause.
            if (isWatching) applyWatched(daemon, StoreStep.Watch(daemon.storeView.at, Duration.ZERO), askedAt, position)
            daemon.storeView.onPaused(duration, uncounted, clockOf(daemon))
            daemon.reader.onPollRequested()
            daemon.reading = launchReading(daemon)
        }
    }

    /** Suspends the machine of [daemon] for [duration], which its clock does not count. */
    fun suspendMachine(
        daemon: VirtualStoreDaemon,
        duration: Duration,
    ) {
        pause(daemon, duration, uncounted = duration)
        daemon.uncounted += duration
    }

    /** Returns the time that the clock of [daemon] shows. */
    fun clockOf(daemon: VirtualStoreDaemon): Duration = now - daemon.uncounted

    private fun launchReading(daemon: VirtualStoreDaemon) = scope.launch { readStore(daemon) }

    /** Writes a configuration to the store; its acknowledgement comes at once. */
    fun publish(configuration: Revision) {
        val serving = ServingConfiguration(configuration, emptyList(), emptyList(), CallerAccess.Anyone, LIMITS)
        write(CONFIGURATION_KEY, StoreRecord.Configuration(serving))
    }

    /** Writes the registration of [backEnd] to the store. */
    fun register(
        backEnd: BackEnd,
        sequence: Long? = null,
    ) = write(keyOf(backEnd), StoreRecord.Registered(backEnd, sequence))

    /** Writes to the store that the failure domain [domain] is evacuated. */
    fun evacuate(domain: DomainId) = write("op/evacuate/${domain.text}", StoreRecord.DomainEvacuation(domain))

    fun copy() = StoreCopy(items.values.toList(), revision)

    /** Restores the store from [copy], which begins its next era: what was written since is lost, and revisions are given out again. */
    fun restore(copy: StoreCopy) {
        era = StoreEra(era.number + 1)
        revision = copy.revision
        items.clear()
        for (copied in copy.items) {
            val item = StoreItem(copied.item.key, StorePosition(era, copied.item.position.revision), copied.item.value)
            records[item] = copied.published
            items[item.key] = DecodedItem(item, copied.published)
        }
    }

    /** Removes the registration of [backEnd] from the store. */
    fun remove(backEnd: BackEnd) = write(keyOf(backEnd), null)

    /** Writes the declaration of version [number] of [model] to the store; its acknowledgement comes at once. */
    fun declare(
        model: ModelId,
        number: WeightNumber,
    ) = write("op/version/${model.text}", StoreRecord.VersionDeclaration(model, number))

    private fun keyOf(backEnd: BackEnd) = "servers/${backEnd.id.text}"

    private fun write(
        key: String,
        record: StoreRecord?,
    ) {
        revision++
        val item = StoreItem(key, position, if (record == null) null else ByteArray(0))
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
            members
                .filter { it.isRunning && it.reader.contactAge(clockOf(it)) != null }
                .minByOrNull { checkNotNull(it.reader.contactAge(clockOf(it))) }
        }

    override fun close() {
        scope.cancel()
        scheduler.runCurrent()
    }

    private suspend fun readStore(daemon: VirtualStoreDaemon) {
        while (true) {
            when (val step = daemon.reader.next(clockOf(daemon))) {
                is StoreStep.Rest -> delay(step.duration)
                StoreStep.ReadAll -> {
                    val askedAt = clockOf(daemon)
                    call(daemon, StoreRevision(0), Duration.ZERO) { at ->
                        daemon.reader.onItemsRead(clockOf(daemon))
                        val present = items.values.filter { it.item.value != null }
                        daemon.storeView.applySnapshot(present, at, clockOf(daemon), asOf = askedAt)
                    }
                }
                is StoreStep.Watch -> {
                    val askedAt = clockOf(daemon)
                    call(daemon, step.after.revision, step.wait) { at -> applyWatched(daemon, step, askedAt, at) }
                }
            }
        }
    }

    private fun applyWatched(
        daemon: VirtualStoreDaemon,
        step: StoreStep.Watch,
        askedAt: Duration,
        at: StorePosition,
    ) {
        val now = clockOf(daemon)
        if (!step.isContinuedBy(at)) {
            daemon.reader.onOtherEra(at.era, now)
            return
        }
        val changes = items.values.filter { it.item.position.revision > step.after.revision }
        daemon.reader.onWatched(changes.size, now)
        daemon.storeView.applyChanges(changes, at, now, asOf = step.asOf(askedAt, now, changes.size))
    }

    private suspend fun call(
        daemon: VirtualStoreDaemon,
        after: StoreRevision,
        wait: Duration,
        onAnswer: (StorePosition) -> Unit,
    ) {
        calls++
        val failure = failureOf(daemon, after, wait)
        if (failure != null) {
            daemon.reader.onFailure(failure, clockOf(daemon))
            return
        }
        onAnswer(position)
        recordInForce(daemon)
    }

    /** Waits for the answer of the store and returns why there is none. */
    private suspend fun failureOf(
        daemon: VirtualStoreDaemon,
        after: StoreRevision,
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
        after: StoreRevision,
        wait: Duration,
    ): StoreResult {
        val until = now + wait
        val cutsBefore = cuts
        while (revision <= after.number && now < until && daemon.treatment != StoreTreatment.Refuses) {
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
            for (daemon in daemons.filter { it.isRunning }) {
                daemon.storeView.expire(clockOf(daemon))
                daemon.storeView.releaseKept(clockOf(daemon))
            }
            delay(TICK_INTERVAL)
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
        val ANSWER_TIME = 4.milliseconds
        val STORE = Peer(PeerRole.PLATFORM, "store")
        val READ_TIMEOUT = 1.seconds
        val TICK_INTERVAL = 100.milliseconds
        val WATCH_CHECK_INTERVAL = 5.milliseconds
    }
}

/**
 * A simulated site: the production controllers and filters of many entry daemons and target daemons, run in virtual time.
 *
 * Only the clock, the connections and the back ends are fakes; all decisions are made by the production code. The user of this class
 * publishes configurations to the daemons and may delay or withhold them for some.
 */
package lagoonrudder.standins.virtual

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import lagoonrudder.control.AdmissionController
import lagoonrudder.control.CheckedSet
import lagoonrudder.control.ConcurrencyLimitController
import lagoonrudder.control.ConfigurationController
import lagoonrudder.control.ControlThread
import lagoonrudder.control.IdempotencyController
import lagoonrudder.control.IdempotencyPolicy
import lagoonrudder.control.LimitPolicy
import lagoonrudder.control.LoadBalancingPolicy
import lagoonrudder.control.MembershipController
import lagoonrudder.control.QueueBounds
import lagoonrudder.control.QueuePolicy
import lagoonrudder.control.ResponseBufferController
import lagoonrudder.control.ResponseBufferPolicy
import lagoonrudder.control.RetryBudget
import lagoonrudder.control.RoutingController
import lagoonrudder.control.ServingController
import lagoonrudder.control.SourcePolicy
import lagoonrudder.control.VersionSwitchController
import lagoonrudder.control.WeightFetchController
import lagoonrudder.control.WeightFetchLimits
import lagoonrudder.control.WeightHolder
import lagoonrudder.daemon.front.CompletionDecoder
import lagoonrudder.model.Address
import lagoonrudder.model.Clock
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.Instance
import lagoonrudder.model.Invariants
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.RegionId
import lagoonrudder.model.RequestId
import lagoonrudder.model.Revision
import lagoonrudder.model.TargetId
import lagoonrudder.model.VersionId
import lagoonrudder.model.Violation
import lagoonrudder.standins.EngineTraits
import lagoonrudder.standins.LOOPBACK
import lagoonrudder.traffic.FilterChain
import lagoonrudder.traffic.TargetClient
import lagoonrudder.traffic.entry.AccountingFilter
import lagoonrudder.traffic.entry.AdmissionFilter
import lagoonrudder.traffic.entry.CallerRequest
import lagoonrudder.traffic.entry.EntryCall
import lagoonrudder.traffic.entry.EntryControl
import lagoonrudder.traffic.entry.IdentifyFilter
import lagoonrudder.traffic.entry.RelayFilter
import lagoonrudder.traffic.entry.ResponseSink
import lagoonrudder.traffic.entry.SendFilter
import lagoonrudder.traffic.entry.SendLimits
import lagoonrudder.traffic.entry.entryFilters
import lagoonrudder.traffic.target.EngineLimits
import lagoonrudder.traffic.target.KeyReservations
import lagoonrudder.traffic.target.TargetCall
import lagoonrudder.traffic.target.TargetControl
import lagoonrudder.traffic.target.targetFilters
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * The clock of the test scheduler.
 *
 * [now] is shifted by [skew], as it is on an instance whose clock is wrong or whose process was paused; [elapsed] is not.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class VirtualClock(
    private val scheduler: TestCoroutineScheduler,
) : Clock {
    var skew: Duration = Duration.ZERO

    override fun now(): Instant = EPOCH + elapsed() + skew

    override fun elapsed(): Duration = scheduler.currentTime.milliseconds

    companion object {
        val EPOCH = Instant.fromEpochMilliseconds(1_800_000_000_000)
    }
}

/** The policies and fakes of a simulated site. */
class VirtualOptions {
    var seed = 1
    var loadBalancing: LoadBalancingPolicy = LoadBalancingPolicy.FreshRoom()
    var concurrencyLimit: LimitPolicy = LimitPolicy.Adaptive()
    var queue: QueuePolicy = QueuePolicy.WeightedFair
    var responseBuffers: ResponseBufferPolicy = ResponseBufferPolicy.Windowed()
    var idempotency = IdempotencyPolicy()
    var engine = EngineTraits()
    var entriesPerDomain = 2
    var latency: Duration = 2.milliseconds
    var faults: FaultInjector = FaultInjector { ExchangeFault.None }

    /** Wraps the client that entry daemons reach targets with, so that tests can inject deliberate defects. */
    var client: (TargetClient) -> TargetClient = { it }
}

/** An entry daemon in virtual time. */
class VirtualEntry(
    val name: DaemonId,
    val domain: DomainId,
    val control: EntryControl,
    private val chain: FilterChain<EntryCall>,
    private val clock: Clock,
) {
    /** Whether the daemon receives configurations and target reports. */
    var reachable = true

    suspend fun call(
        request: CallerRequest,
        sink: ResponseSink,
    ): Outcome = chain.run(EntryCall(request, sink, clock.elapsed()))
}

/** A target daemon in virtual time with its back end. */
class VirtualTarget(
    val id: TargetId,
    val domain: DomainId,
    val control: TargetControl,
    val chain: FilterChain<TargetCall>,
    val backEnd: VirtualBackEnd,
    val reservations: KeyReservations,
    private val clock: Clock,
) {
    /** Whether entry daemons can connect to the daemon and receive its reports. */
    var reachable = true

    fun now(): Duration = clock.elapsed()
}

/**
 * Many daemons on one virtual clock and one [scheduler]; the same seed in the options gives the same run.
 *
 * Everything runs on the thread that advances [scheduler]. Invariant violations are collected in [violations].
 */
@OptIn(ExperimentalCoroutinesApi::class)
class VirtualSite(
    val scheduler: TestCoroutineScheduler,
    private val options: VirtualOptions,
    private var objects: ObjectSet,
) : AutoCloseable {
    val clock = VirtualClock(scheduler)
    val random = Random(options.seed)
    val violations = mutableListOf<Violation>()
    val invariants = Invariants { violations += it }
    private val dispatcher = StandardTestDispatcher(scheduler)
    private val job: Job = SupervisorJob()
    val scope = CoroutineScope(job + dispatcher)
    private val thread = ControlThread.virtual(dispatcher, clock, invariants)
    private var generation = 0L
    private var requestCount = 0
    private var startedDaemons = 0
    private val client = options.client(VirtualTargetClient(scope, { targets[it] }, options.latency, options.faults))
    val targets = linkedMapOf<TargetId, VirtualTarget>()
    val entries = mutableListOf<VirtualEntry>()
    var revision = Revision.NONE
        private set

    /** Creates every daemon, publishes the first configuration to all and starts the report and timer loops. */
    fun start() {
        revision = Revision(1)
        objects.targets.values.forEach { startTarget(it) }
        for (domain in objects.domains.keys) repeat(options.entriesPerDomain) { entries += createEntry(domain, it) }
        deliverConfiguration()
        scope.launch { reportLoop() }
        entries.forEach { scope.launch { tickLoop(it) } }
    }

    /** Publishes [next] under a new revision to the daemons whose name satisfies [receives]; the others keep what they have. */
    fun publish(
        next: ObjectSet,
        receives: (String) -> Boolean = { true },
    ) {
        objects = next
        revision = Revision(revision.number + 1)
        deliverConfiguration(receives)
    }

    /** Delivers the current configuration to every reachable daemon, also to those that missed it. */
    fun deliverToAll() = deliverConfiguration()

    /** Restarts the daemon of [target], which loses all its state; the back end keeps running. */
    fun restartTargetDaemon(target: TargetId) {
        val old = targets.getValue(target)
        startTarget(objects.targets.getValue(target), old.backEnd)
        deliverConfiguration()
    }

    fun objects(): ObjectSet = objects

    override fun close() {
        job.cancel()
        scope.cancel()
    }

    private fun startTarget(
        target: OperatorObject.Target,
        existingBackEnd: VirtualBackEnd? = null,
    ) {
        val version = objects.fleets.getValue(target.fleet).version
        val backEnd = existingBackEnd ?: VirtualBackEnd(options.engine, clock, version)
        val control = targetControl(target, version)
        control.switch.onEngineState(backEnd.engineState())
        val chain = FilterChain(targetFilters(control, backEnd, clock, invariants, EngineLimits()))
        targets[target.id] =
            VirtualTarget(target.id, target.domain, control, chain, backEnd, KeyReservations(control, client, clock), clock)
    }

    private fun targetControl(
        target: OperatorObject.Target,
        version: VersionId?,
    ): TargetControl {
        val now = clock.elapsed()
        val holder = WeightHolder(DaemonId(target.id.text), target.domain, RegionId(target.domain.text))
        val startedAt = if (startedDaemons++ < objects.targets.size) clock.now() - options.idempotency.retention * 2 else clock.now()
        return TargetControl(
            thread = thread,
            clock = clock,
            invariants = invariants,
            self = target.id,
            incarnation = IncarnationId("daemon-$startedDaemons"),
            configuration = ConfigurationController(invariants),
            membership = MembershipController(DaemonId(target.id.text)),
            limits = ConcurrencyLimitController(options.concurrencyLimit, invariants),
            idempotency = IdempotencyController(target.id, options.idempotency, invariants, startedAt, now),
            switch = VersionSwitchController(target.id, now),
            weights = WeightFetchController(holder, SourcePolicy.Striped, WeightFetchLimits(), invariants),
            service = ServingController(target.domain, target.id),
        ).also { check(version == null || objects.versions.containsKey(version)) }
    }

    private fun createEntry(
        domain: DomainId,
        number: Int,
    ): VirtualEntry {
        val name = DaemonId("${domain.text}-entry-$number")
        val control =
            EntryControl(
                thread = thread,
                clock = clock,
                domain = domain,
                configuration = ConfigurationController(invariants),
                membership = MembershipController(name),
                routing = RoutingController(name.text, domain, options.loadBalancing, random),
                admission = AdmissionController(options.queue, QueueBounds(), invariants),
                readers = ResponseBufferController(options.responseBuffers, invariants),
                service = ServingController(domain, null),
                retries = RetryBudget(),
            )
        val filters =
            entryFilters(
                account = AccountingFilter(control, clock) { _, _, _ -> },
                identify = IdentifyFilter(control, clock, CompletionDecoder) { RequestId("request-${requestCount++}") },
                admit = AdmissionFilter(control),
                relay = RelayFilter(control, clock, invariants),
                send = SendFilter(control, client, clock, SendLimits()),
            )
        return VirtualEntry(name, domain, control, FilterChain(filters), clock)
    }

    private fun deliverConfiguration(receives: (String) -> Boolean = { true }) {
        generation++
        val set = ObjectSnapshot(revision, objects)
        val instances = instances()
        for (target in targets.values) {
            if (!receives(target.id.text)) continue
            accept(target.control.configuration, set)
            target.control.membership.replaceList(instances, generation)
            target.control.configured()
        }
        for (entry in entries) {
            if (!receives(entry.name.text) || !entry.reachable) continue
            accept(entry.control.configuration, set)
            entry.control.membership.replaceList(instances, generation)
            entry.control.configured()
        }
    }

    private fun accept(
        configuration: ConfigurationController,
        set: ObjectSnapshot,
    ) {
        CheckedSet.ofFullSet(set, configuration.current, PEER).fold({ error(it.describe()) }, { configuration.offer(it) })
        configuration.confirm()
    }

    private fun instances(): List<Instance> =
        targets.values.map { Instance(DaemonId(it.id.text), DaemonRole.TARGET, it.domain, it.id, ADDRESS, false) } +
            entries.map { Instance(it.name, DaemonRole.ENTRY, it.domain, null, ADDRESS, false) }

    /** Delivers target reports to the entry daemons that route to the target, in place of heartbeats. */
    private suspend fun reportLoop() {
        while (scope.isActive) {
            for (target in targets.values) {
                target.backEnd.state(Duration.ZERO).fold(
                    { target.control.switch.onEngineLost() },
                    {
                        target.control.switch.onEngineState(it)
                        target.control.limits.onEngineIncarnation(it.incarnation)
                    },
                )
                target.control.publish()
            }
            for (entry in entries) for (target in entry.control.routing.subset()) deliverReport(entry, target.id)
            delay(REPORT_INTERVAL)
        }
    }

    private fun deliverReport(
        entry: VirtualEntry,
        target: TargetId,
    ) {
        val source = targets[target]
        if (source == null || !source.reachable || !entry.reachable) return entry.control.onDisconnected(target)
        entry.control.onTargetReport(source.control.latestReport.value)
    }

    private suspend fun tickLoop(entry: VirtualEntry) {
        while (scope.isActive) {
            entry.control.tick()
            delay(TICK_INTERVAL)
        }
    }

    private companion object {
        val PEER = Peer(PeerRole.PLATFORM, "virtual")
        val ADDRESS = Address(LOOPBACK, 1)
        val REPORT_INTERVAL = 200.milliseconds
        val TICK_INTERVAL = 100.milliseconds
    }
}

/** Creates a simulated site without starting it. */
fun virtualSite(
    scheduler: TestCoroutineScheduler,
    objects: ObjectSet,
    build: VirtualOptions.() -> Unit = {},
): VirtualSite = VirtualSite(scheduler, VirtualOptions().apply(build), objects)

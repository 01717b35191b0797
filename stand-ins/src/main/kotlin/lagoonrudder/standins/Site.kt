/**
 * A site in one process on the loopback interface: a fake platform and origin, entry daemons, target daemons and back ends.
 */
package lagoonrudder.standins

import io.ktor.client.HttpClient
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import lagoonrudder.daemon.Daemon
import lagoonrudder.daemon.DaemonAddresses
import lagoonrudder.daemon.DaemonOptions
import lagoonrudder.daemon.daemon
import lagoonrudder.daemon.operators.DaemonDiagnostics
import lagoonrudder.daemon.platform.httpClient
import lagoonrudder.daemon.settings.DEFAULT_LIMIT_SETTINGS
import lagoonrudder.daemon.settings.DaemonSettings
import lagoonrudder.daemon.settings.ListenSettings
import lagoonrudder.daemon.settings.PlatformSettings
import lagoonrudder.daemon.settings.SlotSettings
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.FleetKind
import lagoonrudder.model.Instance
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Revision
import lagoonrudder.model.TargetId
import lagoonrudder.model.VersionId
import lagoonrudder.model.Violation
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The options of a site. */
class SiteOptions {
    var entriesPerDomain: Int = 2
    var originBytesPerSecond: Long = 20_000_000
    var engine: EngineTraits = EngineTraits()
    var daemonOptions: DaemonOptions.() -> Unit = {}
}

/** A running daemon of a site. */
class RunningDaemon(
    val daemon: Daemon,
    val addresses: DaemonAddresses,
    val settings: DaemonSettings,
)

class Site(
    private val options: SiteOptions,
) : AutoCloseable {
    val http: HttpClient = httpClient()
    val platform = FakePlatform()
    val origin = FakeOrigin(options.originBytesPerSecond)
    val engines = ConcurrentHashMap<TargetId, FakeEngine>()
    val services = ConcurrentHashMap<TargetId, FakePlainService>()
    val daemons = ConcurrentHashMap<DaemonId, RunningDaemon>()
    val violations = ConcurrentLinkedQueue<Violation>()

    /** Publishes [objects] as the next revision. */
    fun publish(objects: ObjectSet): Revision {
        objects.versions.values.forEach { origin.publish(it.id.text, SyntheticWeights(it.id.text, it.bytes, it.chunkBytes)) }
        val revision = Revision(platform.currentSnapshot().revision.number + 1)
        platform.publish(ObjectSnapshot(revision, objects))
        return revision
    }

    /** Starts the entry daemons of each failure domain, and a target daemon with its back end for each target. */
    suspend fun start(objects: ObjectSet) {
        publish(objects)
        for (target in objects.targets.values) startTarget(target, objects)
        for (domain in objects.domains.keys) repeat(options.entriesPerDomain) { startEntry(domain, it + 1) }
    }

    suspend fun startEntry(
        domain: DomainId,
        number: Int,
    ): RunningDaemon = start(settings(DaemonId("${domain.text}-entry-$number"), DaemonRole.ENTRY, domain, null))

    suspend fun startTarget(
        target: OperatorObject.Target,
        objects: ObjectSet,
    ): RunningDaemon {
        val slot = SlotSettings(target.id, backEndOf(target, objects))
        return start(settings(DaemonId("${target.id.text}-daemon"), DaemonRole.TARGET, target.domain, slot))
    }

    /** Starts a daemon with [settings] and adds it to the instance list. */
    suspend fun start(settings: DaemonSettings): RunningDaemon {
        val client = http
        val daemon =
            daemon(settings) {
                http = client
                onViolation = { violations += it }
                options.daemonOptions(this)
            }
        val addresses = daemon.start()
        val running = RunningDaemon(daemon, addresses, settings)
        daemons[settings.name] = running
        platform.addInstance(Instance(settings.name, settings.role, settings.domain, settings.slot?.target, addresses.rpc, false))
        return running
    }

    /** Stops a daemon without a graceful shutdown; it stays in the platform's instance list. */
    fun kill(daemon: DaemonId) {
        daemons.remove(daemon)?.daemon?.close()
    }

    /** Returns the caller addresses of the entry daemons in [domain], or of all entry daemons. */
    fun entries(domain: DomainId? = null): List<Address> =
        daemons.values
            .filter { it.settings.role == DaemonRole.ENTRY && (domain == null || it.settings.domain == domain) }
            .sortedBy { it.settings.name.text }
            .mapNotNull { it.addresses.callers }

    /** Waits until [revision] or a later one is active in each daemon. */
    suspend fun awaitRevision(
        revision: Revision,
        limit: Duration = MAX_WAIT,
    ) = await(limit) { daemons.values.all { it.daemon.core.configuration.current.revision >= revision } }

    /** Waits until each engine serves [version] and its daemon reports so. */
    suspend fun awaitVersion(
        version: VersionId,
        limit: Duration = MAX_WAIT,
    ) = await(limit) {
        val targets = daemons.values.filter { running -> running.settings.slot?.let { it.target in engines.keys } == true }
        targets.isNotEmpty() && targets.all { statusOf(it).contains("version=${version.text} switch=serving") }
    }

    /** Waits until each daemon is ready for requests. */
    suspend fun awaitReady(limit: Duration = MAX_WAIT) = await(limit) { daemons.values.all { statusOf(it).contains("ready=true") } }

    /** Returns the status line of a daemon. */
    suspend fun statusOf(running: RunningDaemon): String {
        val daemon = running.daemon
        val diagnostics = daemon as DaemonDiagnostics
        return daemon.core.thread.decide { diagnostics.status() }
    }

    override fun close() {
        daemons.values.forEach { it.daemon.close() }
        engines.values.forEach { it.close() }
        services.values.forEach { it.close() }
        origin.close()
        platform.close()
        http.close()
    }

    private fun backEndOf(
        target: OperatorObject.Target,
        objects: ObjectSet,
    ): Address =
        when (objects.fleets[target.fleet]?.kind) {
            FleetKind.ENGINE -> engines.getOrPut(target.id) { FakeEngine(options.engine) }.address
            FleetKind.PLAIN, null -> services.getOrPut(target.id) { FakePlainService() }.address
        }

    private fun settings(
        name: DaemonId,
        role: DaemonRole,
        domain: DomainId,
        slot: SlotSettings?,
    ): DaemonSettings {
        val anyPort = Address(LOOPBACK, 0)
        return DaemonSettings(
            name = name,
            role = role,
            domain = domain,
            listen = ListenSettings(anyPort, anyPort.takeIf { role == DaemonRole.ENTRY }, anyPort),
            platform = PlatformSettings(platform.address, origin.address),
            seeds = daemons.values.take(SEEDS).map { it.addresses.rpc },
            slot = slot,
            limits = DEFAULT_LIMIT_SETTINGS,
        )
    }

    companion object {
        private const val SEEDS = 4
        private val POLL_INTERVAL = 50.milliseconds

        /** Bounds waits that would never end; not an assertion about speed. */
        val MAX_WAIT = 60.seconds

        suspend fun await(
            limit: Duration = MAX_WAIT,
            condition: suspend () -> Boolean,
        ) = withTimeout(limit) { while (!condition()) delay(POLL_INTERVAL) }
    }
}

private const val IO_PARALLELISM = "kotlinx.coroutines.io.parallelism"
private const val MAX_IO_THREADS = "2000"

/**
 * Raises the parallelism of the I/O dispatcher so that many daemons can run in one process: each HTTP server blocks a thread
 * while it accepts connections. Must be called before the first use of coroutines.
 */
fun allowManyServers() {
    System.setProperty(IO_PARALLELISM, MAX_IO_THREADS)
}

/** Creates a site without starting it. */
fun site(configure: SiteOptions.() -> Unit = {}): Site = Site(SiteOptions().apply(configure))

/**
 * A whole site in one process on loopback: stand-ins of the platform, entry daemons and target daemons.
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
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Revision
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.TargetId
import lagoonrudder.model.VersionId
import lagoonrudder.model.Violation
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How a site is built. */
class SiteOptions {
    var entriesPerDomain: Int = 2
    var originBytesPerSecond: Long = 20_000_000
    var engine: EngineTraits = EngineTraits()
    var build: DaemonOptions.() -> Unit = {}
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
        val revision = Revision(platform.published().revision.number + 1)
        platform.publish(ObjectSnapshot(revision, objects))
        return revision
    }

    /** Starts the entry daemons of every failure domain and a target daemon with its back end for every target. */
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

    /** Starts a daemon with [settings] and lists it. */
    suspend fun start(settings: DaemonSettings): RunningDaemon {
        val client = http
        val daemon =
            daemon(settings) {
                http = client
                onViolation = { violations += it }
                options.build(this)
            }
        val addresses = daemon.start()
        val placed = RunningDaemon(daemon, addresses, settings)
        daemons[settings.name] = placed
        platform.list(Instance(settings.name, settings.role, settings.domain, settings.slot?.target, addresses.rpc, false))
        return placed
    }

    /** Ends a daemon without notice; the platform's list still holds it. */
    fun kill(daemon: DaemonId) {
        daemons.remove(daemon)?.daemon?.close()
    }

    /** The addresses at which callers reach the entry daemons, of [domain] or of all. */
    fun entries(domain: DomainId? = null): List<Address> =
        daemons.values
            .filter { it.settings.role == DaemonRole.ENTRY && (domain == null || it.settings.domain == domain) }
            .sortedBy { it.settings.name.text }
            .mapNotNull { it.addresses.callers }

    /** Waits until every daemon has [revision] in force. */
    suspend fun awaitRevision(
        revision: Revision,
        limit: Duration = HANG_GUARD,
    ) = await(limit) { daemons.values.all { it.daemon.core.configuration.current.revision >= revision } }

    /** Waits until every engine serves [version] and reports it. */
    suspend fun awaitVersion(
        version: VersionId,
        limit: Duration = HANG_GUARD,
    ) = await(limit) {
        val targets = daemons.values.filter { placed -> placed.settings.slot?.let { it.target in engines.keys } == true }
        targets.isNotEmpty() && targets.all { statusOf(it).contains("version=${version.text} switch=serving") }
    }

    /** Waits until every daemon takes work. */
    suspend fun awaitReady(limit: Duration = HANG_GUARD) = await(limit) { daemons.values.all { statusOf(it).contains("ready=true") } }

    /** The status line of a daemon. */
    suspend fun statusOf(placed: RunningDaemon): String {
        val daemon = placed.daemon
        val view = daemon as DaemonDiagnostics
        return daemon.core.thread.decide { view.status() }
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
        val any = Address(LOOPBACK, 0)
        return DaemonSettings(
            name = name,
            role = role,
            domain = domain,
            listen = ListenSettings(any, any.takeIf { role == DaemonRole.ENTRY }, any),
            platform = PlatformSettings(platform.address, origin.address),
            seeds = daemons.values.take(SEEDS).map { it.addresses.rpc },
            slot = slot,
            limits = DEFAULT_LIMIT_SETTINGS,
        )
    }

    companion object {
        private const val SEEDS = 4
        private val CHECK_INTERVAL = 50.milliseconds

        /** Ends a wait that would last for ever; no assertion about speed. */
        val HANG_GUARD = 60.seconds

        suspend fun await(
            limit: Duration = HANG_GUARD,
            holds: suspend () -> Boolean,
        ) = withTimeout(limit) { while (!holds()) delay(CHECK_INTERVAL) }
    }
}

private const val IO_PARALLELISM = "kotlinx.coroutines.io.parallelism"
private const val MANY_THREADS = "2000"

/**
 * Lets many daemons live in one process: each HTTP server waits on a thread of its own for connections. Call it before
 * anything else uses coroutines.
 */
fun allowManyServers() {
    System.setProperty(IO_PARALLELISM, MANY_THREADS)
}

/** Builds a site; it is not started. */
fun site(build: SiteOptions.() -> Unit = {}): Site = Site(SiteOptions().apply(build))

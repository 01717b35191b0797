/**
 * A small site in one process on the loopback interface: a fake store and origin, entry daemons, and fake back ends with
 * their target daemons.
 */
package lagoonrudder.standins.direct

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lagoonrudder.control.direct.PlacementBounds
import lagoonrudder.control.direct.RetryBudgetBounds
import lagoonrudder.daemon.direct.DirectBounds
import lagoonrudder.daemon.direct.DirectCore
import lagoonrudder.daemon.direct.DirectDaemon
import lagoonrudder.daemon.direct.DirectListenSettings
import lagoonrudder.daemon.direct.DirectSettings
import lagoonrudder.daemon.direct.DirectSlotSettings
import lagoonrudder.daemon.direct.directDaemon
import lagoonrudder.http.HttpClient
import lagoonrudder.http.HttpEventLoop
import lagoonrudder.http.HttpHandler
import lagoonrudder.http.HttpRequest
import lagoonrudder.http.HttpResponse
import lagoonrudder.http.HttpServer
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.HeaderField
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.RegionId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.SystemClock
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DirectSite(
    entries: Int,
    workers: Int,
) : AutoCloseable {
    private val loop = HttpEventLoop("site")
    private val scope = CoroutineScope(SupervisorJob() + loop.dispatcher)
    private val clock = SystemClock()
    private val client = HttpClient(loop, clock)
    private val servers = mutableListOf<HttpServer>()
    private val cores = mutableListOf<DirectCore>()
    private val daemons = mutableMapOf<DaemonId, DirectDaemon>()
    private val targetCores = mutableMapOf<Int, DirectCore>()
    val store = FakeStore()
    val origin = FakeWeightOrigin()
    val workers = (1..workers).map { FakeWorker("i-$it", scope) }
    private val storeAddress = listen(store)
    private val originAddress = listen(origin)
    private val workerAddresses = this.workers.map { listen(it) }
    private val entryListens = (1..entries).map { DirectListenSettings(freeAddress(), freeAddress(), freeAddress()) }
    private var requests = 0

    init {
        onLoop { publish(revision = 1) }
        entryListens.forEachIndexed { index, listen -> start(settings("entry-$index", DaemonRole.ENTRY, listen, null)) }
        workerAddresses.indices.forEach { startTarget(it) }
    }

    /** Runs [block] on the event loop thread of the fakes. */
    fun <T> onLoop(block: suspend () -> T): T = runBlocking { withContext(loop.dispatcher) { block() } }

    /** Declares [version] as the one that all back ends must hold. */
    fun declare(version: Long) {
        origin.latestVersion = version
        store.put("op/version/$MODEL_NAME", "{\"model\":\"$MODEL_NAME\",\"version\":$version}")
    }

    /** Ends the target daemon beside back end [index] without notice and starts another one in its place. */
    fun restartTarget(index: Int) {
        stopTarget(index)
        startTarget(index)
    }

    /** Stops entry daemon [index] as the platform does: whatever is in progress at the end of the grace period is cut. */
    suspend fun stopEntry(index: Int) {
        val name = DaemonId("entry-$index")
        withTimeoutOrNull(STOP_GRACE) { daemons.getValue(name).stop() }
        cores.first { it.settings.name == name }.let {
            cores -= it
            it.close()
        }
    }

    /** Ends entry daemon [index] without notice and starts another one, with an empty cache, in its place. */
    suspend fun restartEntry(index: Int) = startEntry(index, killEntry(index))

    /** Ends all daemons at once without notice and starts others, which know nothing, in their places. */
    suspend fun restartAll() {
        workers.indices.forEach { stopTarget(it) }
        val settings = entryListens.indices.map { killEntry(it) }
        settings.forEachIndexed { index, each -> startEntry(index, each) }
        workers.indices.forEach { startTarget(it) }
    }

    private fun killEntry(index: Int): DirectSettings {
        val core = cores.first { it.settings.name == DaemonId("entry-$index") }
        cores -= core
        core.close()
        return core.settings
    }

    private suspend fun startEntry(
        index: Int,
        settings: DirectSettings,
    ) {
        val listen = entryListens[index]
        // The event loop that was closed may release its ports a little later.
        eventually { listOf(listen.callers, listen.ready, listen.peers, settings.operators).all { isFree(it.port) } }
        start(settings)
    }

    fun stopTarget(index: Int) {
        targetCores.remove(index)?.let {
            it.close()
            cores -= it
        }
    }

    /** Makes [part] of prompts crash all back ends; null makes them sound again. They register anew after each crash. */
    fun crashOn(part: String?) =
        workers.forEachIndexed { index, worker ->
            worker.deadlyPart = part
            worker.onRestarted = { register(index) }
        }

    fun register(index: Int) = store.put("servers/${workers[index].id}", registration(index))

    /** Returns the value under which a back end registers. */
    fun registration(index: Int): String =
        buildJsonObject {
            put("service", SERVICE.text)
            put("address", workerAddresses[index].toString())
            put("zone", "one")
            put("slots", SLOTS)
            put("state", "ready")
            put("coldLeftMs", 0)
            put("born", workers[index].born)
            with(workers[index]) { writeLoadedWeights() }
        }.toString()

    /** Publishes a configuration whose only route has [prefix]. [customers] is the text of the field that names them, with its comma. */
    fun publish(
        revision: Int,
        prefix: String = "/a/",
        kind: String = "stream",
        customers: String = ""","tenants":[{"name":"customer","apiKeys":["key"]}]""",
    ) = store.put(
        "op/config",
        """{"version":$revision,"routes":[{"name":"r","host":"host","prefix":"$prefix","kind":"$kind","timeoutMs":5000,
        "targetLatencyMs":400,"service":"${SERVICE.text}","attempts":2,"canResume":true,"gapAimMs":300}],
        "services":[{"name":"${SERVICE.text}","maxConns":50,"engine":{"models":[{"name":"$MODEL_NAME"}],"layers":4,
        "chunks":$CHUNK_COUNT,"chunkBytes":4096}},{"name":"origin","origin":"$originAddress","zone":"one"}],
        "limits":{"maxHeaderBytes":8192,"maxBodyBytes":65536,"headerTimeoutMs":1000,"idleTimeoutMs":5000}$customers}""",
    )

    /** Sends a caller's request to the entry daemon [entry] and returns null when no complete response arrived. [id] must be new. */
    suspend fun request(
        entry: Int = 0,
        path: String = "/a/b",
        key: String? = "key",
        parts: List<String> = emptyList(),
        id: String = "request-${requests++}",
    ): HttpResponse? {
        val fields =
            listOfNotNull(
                HeaderField("Host", "host"),
                HeaderField("Request-Id", id),
                HeaderField("Deadline-Ms", "4000"),
                key?.let { HeaderField("X-Api-Key", it) },
                HeaderField("Prompt-Prefix", (parts + "own-$id").joinToString(",") { "$it:100" }),
            )
        val request = HttpRequest("POST", path, fields, "prompt".encodeToByteArray())
        return client.exchange(entryListens[entry].callers, request, Peer(PeerRole.ENTRY, "$entry"), 6.seconds).getOrNull()
    }

    suspend fun isReady(entry: Int): Boolean {
        val request = HttpRequest("GET", "/lagoonrudder/ready", emptyList())
        val response = client.exchange(entryListens[entry].ready, request, Peer(PeerRole.ENTRY, "$entry"), 1.seconds)
        return response.getOrNull()?.head?.status == 200
    }

    /** Waits until [condition] holds. */
    suspend fun eventually(
        limit: Duration = 10.seconds,
        condition: suspend () -> Boolean,
    ) = withTimeout(limit) { while (!condition()) delay(POLL_INTERVAL) }

    /** The number of invariant violations in all daemons. */
    fun violations(): Long = cores.sumOf { it.invariants.total() }

    override fun close() {
        cores.forEach { it.close() }
        servers.forEach { it.close() }
        loop.close()
    }

    private fun listen(handler: HttpHandler): Address {
        val server = HttpServer.start(loop, scope, Address("127.0.0.1", 0), { HttpServer.PEER_LIMITS }, handler = handler)
        servers += server
        return Address("127.0.0.1", server.port)
    }

    /** Returns an address whose port the system can't assign to an outgoing connection before a daemon binds it. */
    private fun freeAddress(): Address {
        while (true) {
            val port = nextPort.getAndIncrement()
            if (isFree(port)) return Address("127.0.0.1", port)
        }
    }

    private fun isFree(port: Int): Boolean = runCatching { ServerSocket(port).close() }.isSuccess

    fun startTarget(index: Int) {
        targetCores[index] = start(settings("target-$index", DaemonRole.TARGET, null, DirectSlotSettings(SERVICE, workerAddresses[index])))
    }

    private fun start(settings: DirectSettings): DirectCore {
        val core = DirectCore(settings, clock)
        cores += core
        daemons[settings.name] = directDaemon(core).also { runBlocking { it.start() } }
        return core
    }

    private fun settings(
        name: String,
        role: DaemonRole,
        listen: DirectListenSettings?,
        slot: DirectSlotSettings?,
    ) = DirectSettings(
        name = DaemonId(name),
        role = role,
        domain = DomainId("one"),
        region = RegionId("first"),
        regions = mapOf(DomainId("one") to RegionId("first")),
        listen = listen,
        operators = freeAddress(),
        seeds = entryListens.take(1).map { it.peers },
        store = storeAddress,
        slot = slot,
        bounds = DirectBounds(8.seconds, PlacementBounds(1.5, 5.0), RetryBudgetBounds(0.2, 10.seconds, 100.0), STOP_GRACE),
        chunks = if (role == DaemonRole.TARGET) freeAddress() else null,
    )

    private companion object {
        val SERVICE = ServiceId("engines")
        const val SLOTS = 4
        val STOP_GRACE = 2.seconds

        /** Below the ephemeral port range. */
        val nextPort = AtomicInteger(20_000 + Random.nextInt(8_000))
        val POLL_INTERVAL = 20.milliseconds
    }
}

package lagoonrudder.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import lagoonrudder.daemon.platform.httpClient
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.Instance
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.Revision
import lagoonrudder.model.TargetId
import lagoonrudder.model.objectSet
import java.io.File
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

private val weights = SyntheticWeights("m-1", 200_000, 20_000)
private val objects =
    objectSet {
        region("ost", origin = true)
        domain("ost")
        customer("tirol")
        model("m")
        version("m-1", "m", weights.manifestDigest, weights.bytes, weights.chunkBytes)
        engineFleet("workers", "m-1")
        listOf("a", "b").forEach { target("worker-$it", "workers", "ost") }
        route("text", "/v1/text", "workers")
    }

private fun freePort(): Int = ServerSocket(0).use { it.localPort }

/** Runs daemons as separate processes, with the fakes in this process and a fault proxy in front of target daemon a. */
private class ProcessSite(
    private val folder: File,
) : AutoCloseable {
    val platform = FakePlatform()
    val origin = FakeOrigin(20_000_000).apply { publish("m-1", weights) }
    val engines = listOf("a", "b").associateWith { FakeEngine() }
    val http = httpClient()
    private val running = mutableMapOf<String, Process>()
    val callers = Address(LOOPBACK, freePort())
    private val targetPorts = engines.keys.associateWith { freePort() }
    val proxy = FaultProxy { Address(LOOPBACK, targetPorts.getValue("a")) }

    init {
        platform.publish(ObjectSnapshot(Revision(1), objects))
        engines.keys.forEach(::startTarget)
        startEntry()
    }

    fun startTarget(name: String) {
        val port = targetPorts.getValue(name)
        val slot = "[slot]\ntarget = worker-$name\nback-end = ${engines.getValue(name).address}\n"
        start("target-$name", DaemonRole.TARGET, port, slot)
        val advertised = if (name == "a") proxy.address else Address(LOOPBACK, port)
        platform.addInstance(
            Instance(DaemonId("target-$name"), DaemonRole.TARGET, DomainId("ost"), TargetId("worker-$name"), advertised, false),
        )
    }

    fun startEntry() {
        val port = freePort()
        start("entry", DaemonRole.ENTRY, port, "")
        platform.addInstance(Instance(DaemonId("entry"), DaemonRole.ENTRY, DomainId("ost"), null, Address(LOOPBACK, port), false))
    }

    /** Kills a process without a graceful shutdown. */
    fun kill(name: String) {
        running.getValue(name).destroyForcibly().waitFor()
    }

    /** Sends SIGTERM and returns the exit code once the process has ended. */
    fun stop(name: String): Int {
        val process = running.getValue(name)
        process.destroy()
        process.waitFor(60, TimeUnit.SECONDS) shouldBe true
        return process.exitValue()
    }

    suspend fun send(tokens: Int = 20): Reply = Caller(http).text(callers, TextCall("/v1/text", "token-tirol", "prompt", tokens))

    suspend fun awaitResponse() = Site.await { send() is Reply.Complete }

    override fun close() {
        running.values.forEach { it.destroyForcibly().waitFor() }
        proxy.close()
        engines.values.forEach { it.close() }
        origin.close()
        platform.close()
        http.close()
    }

    private fun start(
        name: String,
        role: DaemonRole,
        port: Int,
        slot: String,
    ) {
        val listen = if (role == DaemonRole.ENTRY) "callers = $callers\n" else ""
        val settings =
            "[daemon]\nname = $name\nrole = ${role.name.lowercase()}\ndomain = ost\n" +
                "[listen]\nrpc = $LOOPBACK:$port\noperators = $LOOPBACK:0\n$listen" +
                "[platform]\nconfiguration = ${platform.address}\norigin = ${origin.address}\n$slot"
        val file = File(folder, "$name.ini").apply { writeText(settings) }
        val java = File(System.getProperty("java.home"), "bin/java").path
        val command =
            listOf(java, "-Xmx256m", "-cp", System.getProperty("java.class.path"), "lagoonrudder.daemon.MainKt", "--settings", file.path)
        running[name] = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(File(folder, "$name.log")).start()
    }
}

class ProcessTest :
    FunSpec({
        test("requests survive a killed target daemon, stalled connections and a replaced entry daemon, and complete during shutdown") {
            ProcessSite(tempdir()).use { site ->
                site.awaitResponse()

                site.kill("target-b")
                List(5) { site.send() }.forEach { it.shouldBeInstanceOf<Reply.Complete>() }
                site.startTarget("b")
                val startedBefore =
                    site.engines
                        .getValue("b")
                        .requestsStarted
                        .get()
                Site.await {
                    site.send()
                    site.engines
                        .getValue("b")
                        .requestsStarted
                        .get() > startedBefore
                }

                site.proxy.inject(Fault.StallExisting)
                val afterStall = List(6) { site.send() }
                afterStall.filterNot { it is Reply.Complete }.shouldBeEmpty()
                site.proxy.inject(Fault.None)

                site.kill("entry")
                site.startEntry()
                site.awaitResponse()

                coroutineScope {
                    val longRequests = List(4) { async { site.send(tokens = 150) } }
                    delay(400.milliseconds)
                    site.stop("target-b")
                    site.stop("entry")
                    longRequests.awaitAll().forEach { it.shouldBeInstanceOf<Reply.Complete>() }
                }
                site.engines.values.sumOf { it.requestsCompleted.get() } shouldBeGreaterThan 10L
            }
        }
    })

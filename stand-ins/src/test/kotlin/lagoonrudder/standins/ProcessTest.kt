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
import lagoonrudder.model.Revision
import lagoonrudder.model.ObjectSnapshot
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

/** Daemons as processes of their own, with stand-ins in this one and a fault proxy before one target. */
private class Processes(
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
        val reached = if (name == "a") proxy.address else Address(LOOPBACK, port)
        platform.list(Instance(DaemonId("target-$name"), DaemonRole.TARGET, DomainId("ost"), TargetId("worker-$name"), reached, false))
    }

    fun startEntry() {
        val port = freePort()
        start("entry", DaemonRole.ENTRY, port, "")
        platform.list(Instance(DaemonId("entry"), DaemonRole.ENTRY, DomainId("ost"), null, Address(LOOPBACK, port), false))
    }

    /** Ends a process without notice. */
    fun kill(name: String) {
        running.getValue(name).destroyForcibly().waitFor()
    }

    /** Sends the stop signal and returns the exit code once the process has ended. */
    fun stop(name: String): Int {
        val process = running.getValue(name)
        process.destroy()
        process.waitFor(60, TimeUnit.SECONDS) shouldBe true
        return process.exitValue()
    }

    suspend fun ask(tokens: Int = 20): Reply = Caller(http).text(callers, TextCall("/v1/text", "token-tirol", "prompt", tokens))

    suspend fun awaitAnswer() = Site.await { ask() is Reply.Complete }

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
        test("processes serve, survive a killed target, a silent connection and a replaced entry, and stop without cutting anything off") {
            Processes(tempdir()).use { site ->
                site.awaitAnswer()

                site.kill("target-b")
                List(5) { site.ask() }.forEach { it.shouldBeInstanceOf<Reply.Complete>() }
                site.startTarget("b")
                val begunBefore =
                    site.engines
                        .getValue("b")
                        .begun
                        .get()
                Site.await {
                    site.ask()
                    site.engines
                        .getValue("b")
                        .begun
                        .get() > begunBefore
                }

                site.proxy.inject(Fault.SilentOld)
                val afterSilence = List(6) { site.ask() }
                afterSilence.filterNot { it is Reply.Complete }.shouldBeEmpty()
                site.proxy.inject(Fault.None)

                site.kill("entry")
                site.startEntry()
                site.awaitAnswer()

                coroutineScope {
                    val long = List(4) { async { site.ask(tokens = 150) } }
                    delay(400.milliseconds)
                    site.stop("target-b")
                    site.stop("entry")
                    long.awaitAll().forEach { it.shouldBeInstanceOf<Reply.Complete>() }
                }
                site.engines.values.sumOf { it.ended.get() } shouldBeGreaterThan 10L
            }
        }
    })

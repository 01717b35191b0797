/**
 * The program of a daemon in direct mode. It reloads its settings on SIGHUP and when their file changes, and stops on SIGTERM or SIGINT.
 */
package lagoonrudder.daemon.direct

import arrow.core.getOrElse
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lagoonrudder.model.SystemClock
import sun.misc.Signal
import java.lang.management.ManagementFactory
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds

private const val EXIT_INVALID_SETTINGS = 2

fun main(arguments: Array<String>) {
    val parser = ArgParser("lagoonrudderd-direct")
    val file by parser.option(ArgType.String, "settings", description = "INI file with the settings of this daemon").required()
    parser.parse(arguments)
    val settings = readSettingsFile(file).getOrElse { exit(it) }
    val clock = SystemClock()
    // Others count from the start of the process, and loading classes takes up to a second on a busy machine.
    val uptime = ManagementFactory.getRuntimeMXBean().uptime.milliseconds
    val core = DirectCore(settings, clock, startedAt = clock.elapsed() - uptime)
    val daemon = directDaemon(core)
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { daemon.stop() }
            stopped.countDown()
        },
    )
    val reload = SettingsReload(core, file)
    Signal.handle(Signal("HUP")) { core.scope.launch { reload.check() } }
    core.launchLoop("settings") { reload.run() }
    runBlocking { daemon.start() }
    stopped.await()
}

private fun exit(message: String): Nothing {
    System.err.println("lagoonrudderd-direct: $message")
    exitProcess(EXIT_INVALID_SETTINGS)
}

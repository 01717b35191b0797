/**
 * The program of a daemon in direct mode. It reloads its settings on SIGHUP and stops on SIGTERM or SIGINT.
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
import java.io.File
import java.io.IOException
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
    Signal.handle(Signal("HUP")) { core.scope.launch { reload(core, file) } }
    runBlocking { daemon.start() }
    stopped.await()
}

/** Applies the one setting that may change at run time, the seeds. Settings that can't be read change nothing. */
private suspend fun reload(
    core: DirectCore,
    file: String,
) {
    val reloaded =
        readSettingsFile(file).getOrElse {
            core.log.warning("reload-refused", "detail" to it)
            return
        }
    core.thread.decide { core.peers.seeds = reloaded.seeds }
    core.log.info("reloaded", "seeds" to reloaded.seeds)
}

private fun readSettingsFile(file: String): arrow.core.Either<String, DirectSettings> =
    try {
        readDirectSettings(File(file).readText(), file).mapLeft { it.describe() }
    } catch (unreadable: IOException) {
        arrow.core.Either.Left("file $file: ${unreadable.message}")
    }

private fun exit(message: String): Nothing {
    System.err.println("lagoonrudderd-direct: $message")
    exitProcess(EXIT_INVALID_SETTINGS)
}

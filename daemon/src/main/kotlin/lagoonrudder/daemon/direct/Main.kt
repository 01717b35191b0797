/**
 * The daemon program on the direct way: reads its settings, runs, reloads on a hang-up signal, and stops on a stop signal.
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
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val EXIT_WRONG_INPUT = 2

fun main(arguments: Array<String>) {
    val parser = ArgParser("lagoonrudderd-direct")
    val file by parser.option(ArgType.String, "settings", description = "INI file with the settings of this daemon").required()
    parser.parse(arguments)
    val settings = readSettingsFile(file).getOrElse { exit(it) }
    val core = DirectCore(settings, SystemClock())
    val daemon = directDaemon(core)
    val ended = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { daemon.stop() }
            ended.countDown()
        },
    )
    Signal.handle(Signal("HUP")) { core.scope.launch { reload(core, file) } }
    runBlocking { daemon.start() }
    ended.await()
}

/** Takes over what may change while running, the seeds; settings that can't be read change nothing. */
private suspend fun reload(
    core: DirectCore,
    file: String,
) {
    val next =
        readSettingsFile(file).getOrElse {
            core.log.warning("reload-refused", "detail" to it)
            return
        }
    core.thread.decide { core.peers.seeds = next.seeds }
    core.log.info("reloaded", "seeds" to next.seeds)
}

private fun readSettingsFile(file: String): arrow.core.Either<String, DirectSettings> =
    try {
        readDirectSettings(File(file).readText(), file).mapLeft { it.describe() }
    } catch (missing: IOException) {
        arrow.core.Either.Left("file $file: ${missing.message}")
    }

private fun exit(message: String): Nothing {
    System.err.println("lagoonrudderd-direct: $message")
    exitProcess(EXIT_WRONG_INPUT)
}

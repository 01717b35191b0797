/**
 * The daemon program, started with `lagoonrudderd --settings FILE`.
 */
package lagoonrudder.daemon

import arrow.core.getOrElse
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import lagoonrudder.daemon.settings.readSettings
import java.io.File
import java.io.IOException
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val EXIT_INVALID_SETTINGS = 2

fun main(arguments: Array<String>) {
    val parser = ArgParser("lagoonrudderd")
    val file by parser.option(ArgType.String, "settings", description = "INI file with the settings of this daemon").required()
    parser.parse(arguments)
    val settings = readSettings(readOrExit(file), file).getOrElse { exit(it.describe()) }
    val daemon = daemon(settings)
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { daemon.stop() }
            stopped.countDown()
        },
    )
    runBlocking { daemon.start() }
    stopped.await()
}

private fun readOrExit(file: String): String =
    try {
        File(file).readText()
    } catch (unreadable: IOException) {
        exit("file $file: ${unreadable.message}")
    }

private fun exit(message: String): Nothing {
    System.err.println("lagoonrudderd: $message")
    exitProcess(EXIT_INVALID_SETTINGS)
}

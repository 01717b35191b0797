/**
 * The daemon program: lagoonrudderd --settings FILE.
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

private const val EXIT_WRONG_INPUT = 2

fun main(arguments: Array<String>) {
    val parser = ArgParser("lagoonrudderd")
    val file by parser.option(ArgType.String, "settings", description = "INI file with the settings of this daemon").required()
    parser.parse(arguments)
    val settings = readSettings(readOrExit(file), file).getOrElse { exit(it.describe()) }
    val daemon = daemon(settings)
    val ended = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { daemon.stop() }
            ended.countDown()
        },
    )
    runBlocking { daemon.start() }
    ended.await()
}

private fun readOrExit(file: String): String =
    try {
        File(file).readText()
    } catch (missing: IOException) {
        exit("file $file: ${missing.message}")
    }

private fun exit(message: String): Nothing {
    System.err.println("lagoonrudderd: $message")
    exitProcess(EXIT_WRONG_INPUT)
}

/**
 * The command-line tool: checks, seals and compares sets of objects, edits them, asks daemons for their state, and explains a
 * request from their logs.
 *
 * It edits files and never writes to the platform. Exit codes: 0 done, 1 the input has findings, 2 the input can't be
 * read, 3 a daemon did not answer.
 */
package lagoonrudder.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

internal const val EXIT_FINDINGS = 1
internal const val EXIT_INVALID_INPUT = 2
internal const val EXIT_UNREACHABLE = 3

@OptIn(ExperimentalCli::class)
fun main(arguments: Array<String>) {
    val parser = ArgParser("lagoonrudder")
    val console = Console()
    val commands = objectCommands(console) + daemonCommands(console) + TraceCommand(console)
    parser.subcommands(*commands.toTypedArray())
    val words = if (arguments.isEmpty()) arrayOf("--help") else arguments
    parser.parse(words)
    exitProcess(console.exitCode)
}

/** Where commands print and how they end. */
class Console(
    private val out: (String) -> Unit = ::println,
    private val errors: (String) -> Unit = System.err::println,
) {
    var exitCode = 0
        private set

    fun print(line: String) = out(line)

    fun fail(
        line: String,
        code: Int,
    ) {
        errors(line)
        exitCode = maxOf(exitCode, code)
    }
}

/**
 * The command-line tool: checks, seals, compares and edits sets of objects, queries the state of daemons, and traces a request
 * through their logs.
 *
 * It edits files and never writes to the platform. Exit codes: 0 success, 1 the input has findings, 2 the input can't be
 * read, 3 a daemon did not respond.
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
    val effective = if (arguments.isEmpty()) arrayOf("--help") else arguments
    parser.parse(effective)
    exitProcess(console.exitCode)
}

/** Output and exit code of commands. The exit code is the highest that a failure reported. */
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

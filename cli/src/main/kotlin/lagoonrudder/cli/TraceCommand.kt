/**
 * The command that explains a request from the logs of the daemons.
 */
@file:OptIn(ExperimentalCli::class)

package lagoonrudder.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.vararg
import java.io.File

internal class TraceCommand(
    console: Console,
) : ObjectCommand(console, "trace", "Print a request's story from logs of daemons, with what each daemon believed") {
    private val request by argument(ArgType.String, description = "The request's id")
    private val files by argument(ArgType.String, description = "Files of log lines").vararg()

    override fun run() {
        val lines = files.flatMap { file -> File(file).useLines { lines -> lines.mapNotNull { readLogLine(it) }.toList() } }
        val trace = traceRequest(request, lines)
        trace.forEach { console.print(it) }
        if (trace.isEmpty()) console.fail("no line of ${files.size} files names request $request", EXIT_FINDINGS)
    }
}

/**
 * The command that traces a request through the logs of daemons.
 */
@file:OptIn(ExperimentalCli::class)

package lagoonrudder.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.vararg
import java.io.File

internal class TraceCommand(
    console: Console,
) : ObjectCommand(console, "trace", "Trace a request through daemon logs, with the state known to each daemon") {
    private val request by argument(ArgType.String, description = "request ID")
    private val files by argument(ArgType.String, description = "log files").vararg()

    override fun run() {
        val lines = files.flatMap { file -> File(file).useLines { lines -> lines.mapNotNull { readLogLine(it) }.toList() } }
        val trace = traceRequest(request, lines)
        trace.forEach { console.print(it) }
        if (trace.isEmpty()) console.fail("no log line in ${files.size} files mentions request $request", EXIT_FINDINGS)
    }
}

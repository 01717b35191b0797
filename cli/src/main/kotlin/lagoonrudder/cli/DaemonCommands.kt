/**
 * The commands that ask daemons for their state.
 */
@file:OptIn(ExperimentalCli::class)

package lagoonrudder.cli

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.vararg
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.model.addressOrNull
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

private val RESPONSE_TIMEOUT = 5.seconds

internal fun daemonCommands(console: Console): List<Subcommand> =
    listOf(
        DaemonCommand(console, "status", "Show one line of state for each daemon", "status"),
        DaemonCommand(console, "dump", "Show the whole state of each daemon", "dump"),
    )

internal class DaemonCommand(
    private val console: Console,
    name: String,
    description: String,
    private val path: String,
) : Subcommand(name, description) {
    private val addresses by argument(ArgType.String, description = "operators' addresses of daemons, such as 127.0.0.1:9001").vararg()

    override fun execute() =
        runBlocking {
            HttpClient(CIO).use { client -> addresses.forEach { query(client, it) } }
        }

    private suspend fun query(
        client: HttpClient,
        address: String,
    ) {
        if (addressOrNull(address) == null) {
            return console.fail("address $address: expected an IP number and a port such as 127.0.0.1:9001", EXIT_INVALID_INPUT)
        }
        try {
            val text = withTimeoutOrNull(RESPONSE_TIMEOUT) { client.get("http://$address/$path").bodyAsText() }
            if (text ==
                null
            ) {
                console.fail("step=dump peer=$address no answer within $RESPONSE_TIMEOUT", EXIT_UNREACHABLE)
            } else {
                console.print(text.trimEnd())
            }
        } catch (unreachable: IOException) {
            console.fail("step=dump peer=$address ${unreachable.message}", EXIT_UNREACHABLE)
        }
    }
}

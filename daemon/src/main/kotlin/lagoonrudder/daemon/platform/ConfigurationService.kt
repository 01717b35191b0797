/**
 * The platform's configuration service and its list of instances, which can be read and watched and nothing else.
 */
package lagoonrudder.daemon.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import lagoonrudder.model.Address
import lagoonrudder.model.Digest
import lagoonrudder.model.Failure
import lagoonrudder.model.Instance
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Step
import lagoonrudder.wire.documents.HEAD_KEY
import lagoonrudder.wire.documents.partKey
import lagoonrudder.wire.documents.readInstances
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A value and the service's own generation of it. */
data class PlatformValue<T>(
    val generation: Long,
    val value: T,
)

class ConfigurationService(
    private val client: HttpClient,
    private val address: Address,
) {
    val peer = Peer(PeerRole.PLATFORM, address.toString())

    /** The head, or null when nothing was published. */
    suspend fun head(limit: Duration): Either<Failure, PlatformValue<String>?> = value(HEAD_KEY, "", limit)

    /** Waits up to [wait] for a head newer than [after]; null when there was none. */
    suspend fun watchHead(
        after: Long,
        wait: Duration,
    ): Either<Failure, PlatformValue<String>?> = value(HEAD_KEY, waitQuery(after, wait), wait + WAIT_MARGIN)

    suspend fun part(
        digest: Digest,
        limit: Duration,
    ): Either<Failure, String> =
        value(partKey(digest), "", limit).flatMap {
            it?.value?.right() ?: Failure.Declined(Step.READ_PLATFORM, peer, "no part ${digest.hexadecimal}").left()
        }

    /** Waits up to [wait] for a list newer than [after]; null when there was none. */
    suspend fun watchInstances(
        after: Long,
        wait: Duration,
    ): Either<Failure, PlatformValue<List<Instance>>?> =
        read("instances${waitQuery(after, wait)}", wait + WAIT_MARGIN).flatMap { answer ->
            if (answer == null) return@flatMap null.right()
            readInstances(answer.bytes.decodeToString(), peer).map { PlatformValue(answer.generation, it) }
        }

    private suspend fun value(
        key: String,
        query: String,
        limit: Duration,
    ): Either<Failure, PlatformValue<String>?> =
        read("values/$key$query", limit).map { answer -> answer?.let { PlatformValue(it.generation, it.bytes.decodeToString()) } }

    private suspend fun read(
        path: String,
        limit: Duration,
    ): Either<Failure, PlatformResponse?> =
        client.read("http://$address/v1/$path", Step.READ_PLATFORM, peer, limit).map { answer -> answer.takeIf { it.status == OK } }

    private fun waitQuery(
        after: Long,
        wait: Duration,
    ) = "?after=$after&wait=${wait.inWholeMilliseconds}"

    private companion object {
        const val OK = 200
        val WAIT_MARGIN = 3.seconds
    }
}

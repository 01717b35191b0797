/**
 * Client for the platform's configuration service and its list of instances, both of which are read-only.
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

/** A value and the generation that the service assigned to it. */
data class PlatformValue<T>(
    val generation: Long,
    val value: T,
)

class ConfigurationService(
    private val client: HttpClient,
    private val address: Address,
) {
    val peer = Peer(PeerRole.PLATFORM, address.toString())

    /** Returns the head document, or null when none was published. */
    suspend fun head(timeout: Duration): Either<Failure, PlatformValue<String>?> = value(HEAD_KEY, "", timeout)

    /** Waits up to [wait] for a head newer than generation [after]; returns null when there was none. */
    suspend fun watchHead(
        after: Long,
        wait: Duration,
    ): Either<Failure, PlatformValue<String>?> = value(HEAD_KEY, waitQuery(after, wait), wait + RESPONSE_MARGIN)

    suspend fun part(
        digest: Digest,
        timeout: Duration,
    ): Either<Failure, String> =
        value(partKey(digest), "", timeout).flatMap {
            it?.value?.right() ?: Failure.Declined(Step.READ_PLATFORM, peer, "part ${digest.hexadecimal} not found").left()
        }

    /** Waits up to [wait] for a list of instances newer than generation [after]; returns null when there was none. */
    suspend fun watchInstances(
        after: Long,
        wait: Duration,
    ): Either<Failure, PlatformValue<List<Instance>>?> =
        read("instances${waitQuery(after, wait)}", wait + RESPONSE_MARGIN).flatMap { response ->
            if (response == null) return@flatMap null.right()
            readInstances(response.bytes.decodeToString(), peer).map { PlatformValue(response.generation, it) }
        }

    private suspend fun value(
        key: String,
        query: String,
        timeout: Duration,
    ): Either<Failure, PlatformValue<String>?> =
        read("values/$key$query", timeout).map { response -> response?.let { PlatformValue(it.generation, it.bytes.decodeToString()) } }

    private suspend fun read(
        path: String,
        timeout: Duration,
    ): Either<Failure, PlatformResponse?> =
        client.read("http://$address/v1/$path", Step.READ_PLATFORM, peer, timeout).map { response -> response.takeIf { it.status == OK } }

    private fun waitQuery(
        after: Long,
        wait: Duration,
    ) = "?after=$after&wait=${wait.inWholeMilliseconds}"

    private companion object {
        const val OK = 200
        val RESPONSE_MARGIN = 3.seconds
    }
}

/**
 * Maps gRPC errors to [Failure].
 */
package lagoonrudder.wire.rpc

import io.grpc.Status
import lagoonrudder.model.Failure
import lagoonrudder.model.Peer
import lagoonrudder.model.Step
import lagoonrudder.wire.messages.MalformedMessage
import java.net.ConnectException
import java.net.NoRouteToHostException
import kotlin.time.Duration

/**
 * Returns the failure that corresponds to [error]. Only an error raised while the connection was being opened proves that
 * nothing was sent; any other transport error is treated as an interrupted call.
 */
internal fun failureOf(
    error: Throwable,
    step: Step,
    peer: Peer,
    limit: Duration,
): Failure {
    val status = Status.fromThrowable(error)
    val detail = listOfNotNull(status.code.name.lowercase(), status.description, error.message.takeIf { status.description == null })
    val causes = generateSequence(error) { it.cause }
    return when {
        error is MalformedMessage || status.code == Status.Code.DATA_LOSS -> Failure.Damaged(step, peer, detail.joinToString(" "))
        causes.any { it is ConnectException || it is NoRouteToHostException } -> Failure.Unreachable(step, peer, detail.joinToString(" "))
        status.code == Status.Code.DEADLINE_EXCEEDED -> Failure.TimedOut(step, peer, limit)
        else -> Failure.Interrupted(step, peer, detail.joinToString(" "))
    }
}

/**
 * Timeouts for flows that make no progress.
 */
package lagoonrudder.traffic

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.model.Failure
import lagoonrudder.model.Peer
import lagoonrudder.model.Step
import kotlin.time.Duration

/** The timeouts for the first event of a peer and for each further one. */
data class ProgressLimits(
    val first: Duration,
    val next: Duration,
)

/** Ends with [Failure.TimedOut] if the source emits nothing in time; time spent in the collector does not count. */
fun <T> Flow<Either<Failure, T>>.withProgressLimits(
    limits: ProgressLimits,
    step: Step,
    peer: Peer,
): Flow<Either<Failure, T>> =
    flow {
        coroutineScope {
            val source = buffer(Channel.RENDEZVOUS).produceIn(this)
            var limit = limits.first
            while (true) {
                val received = withTimeoutOrNull(limit) { source.receiveCatching() }
                if (received == null) {
                    source.cancel()
                    emit(Failure.TimedOut(step, peer, limit).left())
                    break
                }
                val event = received.getOrNull() ?: break
                emit(event)
                limit = limits.next
            }
        }
    }

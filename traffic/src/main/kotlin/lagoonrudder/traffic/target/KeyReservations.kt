/**
 * Reserves idempotency keys of requests that may run at most once, and transfers keys between owners.
 *
 * If a key has recently moved to this target, its previous owners are queried first. If a previous owner can't be reached,
 * the decision on its key is "uncertain".
 */
package lagoonrudder.traffic.target

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import lagoonrudder.control.IdempotencyDecision
import lagoonrudder.control.SurrenderResult
import lagoonrudder.model.Clock
import lagoonrudder.model.TargetId
import lagoonrudder.traffic.ReserveRequest
import lagoonrudder.traffic.SurrenderRequest
import lagoonrudder.traffic.TargetClient
import kotlin.time.Duration.Companion.milliseconds

class KeyReservations(
    private val control: TargetControl,
    private val client: TargetClient,
    private val clock: Clock,
) {
    suspend fun reserve(request: ReserveRequest): IdempotencyDecision {
        awaitRevision(request.revision.number)
        val decision = control.thread.decide { decide(request, emptySet()) }
        if (decision !is IdempotencyDecision.QueryPreviousOwners) return decision
        for (owner in decision.owners) requestRelease(owner, request)?.let { return it }
        return control.thread.decide { decide(request, decision.owners.toSet()) }
    }

    suspend fun surrender(request: SurrenderRequest): SurrenderResult {
        awaitRevision(request.revision.number)
        return control.thread.decide { control.idempotency.surrender(request.key, clock.elapsed(), clock.now()) }
    }

    private fun decide(
        request: ReserveRequest,
        cleared: Set<TargetId>,
    ): IdempotencyDecision {
        val closed = control.closed() ?: control.switch.refusal()
        if (closed != null) return IdempotencyDecision.Refused(closed)
        return control.idempotency.reserve(request.key, request.body, clock.elapsed(), clock.now(), cleared)
    }

    /** Asks [owner] to release the key; returns null if it did so without having seen a request with that key. */
    private suspend fun requestRelease(
        owner: TargetId,
        request: ReserveRequest,
    ): IdempotencyDecision? {
        val instance = control.thread.decide { control.membership.daemonOf(owner) }
        val revision = control.thread.decide { control.configuration.current.revision }
        val result = instance?.let { client.surrender(it, SurrenderRequest(request.key, revision), RELEASE_TIMEOUT).getOrNull() }
        return when (result) {
            null -> IdempotencyDecision.Uncertain("the previous owner ${owner.text} of the key can't be reached")
            SurrenderResult.Released -> null
            is SurrenderResult.AlreadyRan -> IdempotencyDecision.AlreadyRan(result.response)
            is SurrenderResult.Uncertain -> IdempotencyDecision.Uncertain(result.detail)
        }
    }

    private suspend fun awaitRevision(required: Long) {
        if (control.revision.value >= required) return
        withTimeoutOrNull(TargetControl.CATCH_UP_LIMIT) { control.revision.first { it >= required } }
    }

    private companion object {
        val RELEASE_TIMEOUT = 700.milliseconds
    }
}

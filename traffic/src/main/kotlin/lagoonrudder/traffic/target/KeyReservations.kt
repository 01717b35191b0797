/**
 * Reserves keys of requests that may run at most once, and hands keys over between owners.
 *
 * When a key moved to this target lately, its earlier owners are asked first. A key that an earlier owner can't speak for
 * is answered as uncertain.
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
    private val link: TargetClient,
    private val clock: Clock,
) {
    suspend fun reserve(request: ReserveRequest): IdempotencyDecision {
        awaitRevision(request.revision.number)
        val decision = control.thread.decide { decide(request, emptySet()) }
        if (decision !is IdempotencyDecision.QueryPreviousOwners) return decision
        for (owner in decision.owners) askOwner(owner, request)?.let { return it }
        return control.thread.decide { decide(request, decision.owners.toSet()) }
    }

    suspend fun surrender(request: SurrenderRequest): SurrenderResult {
        awaitRevision(request.revision.number)
        return control.thread.decide { control.repeats.surrender(request.key, clock.elapsed(), clock.now()) }
    }

    private fun decide(
        request: ReserveRequest,
        cleared: Set<TargetId>,
    ): IdempotencyDecision {
        val closed = control.closed() ?: control.switch.refusal()
        if (closed != null) return IdempotencyDecision.Refused(closed)
        return control.repeats.reserve(request.key, request.body, clock.elapsed(), clock.now(), cleared)
    }

    /** Null when [owner] surrendered the key unseen. */
    private suspend fun askOwner(
        owner: TargetId,
        request: ReserveRequest,
    ): IdempotencyDecision? {
        val instance = control.thread.decide { control.membership.daemonOf(owner) }
        val revision = control.thread.decide { control.configuration.current.revision }
        val response = instance?.let { link.surrender(it, SurrenderRequest(request.key, revision), ASK_LIMIT).getOrNull() }
        return when (response) {
            null -> IdempotencyDecision.Uncertain("the earlier owner ${owner.text} of the key can't be asked")
            SurrenderResult.Released -> null
            is SurrenderResult.AlreadyRan -> IdempotencyDecision.AlreadyRan(response.response)
            is SurrenderResult.Uncertain -> IdempotencyDecision.Uncertain(response.detail)
        }
    }

    private suspend fun awaitRevision(wanted: Long) {
        if (control.revision.value >= wanted) return
        withTimeoutOrNull(TargetControl.CATCH_UP_LIMIT) { control.revision.first { it >= wanted } }
    }

    private companion object {
        val ASK_LIMIT = 700.milliseconds
    }
}

/**
 * Rejects a request that may run at most once but has no valid idempotency key, which identifies its repeats.
 */
package lagoonrudder.traffic.entry

import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Refusal
import lagoonrudder.model.Step
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next

class IdempotencyKeyFilter : Filter<EntryCall> {
    override suspend fun handle(
        call: EntryCall,
        next: Next<EntryCall>,
    ): Outcome {
        val context = call.context
        if (context.route.idempotent) return next.proceed(call)
        val key = context.key?.text.orEmpty()
        val wellFormed = key.isNotBlank() && key.length <= MAX_KEY_LENGTH
        if (wellFormed) return next.proceed(call)
        val refusal = Refusal.Invalid("header Idempotency-Key must have 1 to $MAX_KEY_LENGTH characters")
        return Outcome.Refused(refusal, Step.GUARD_REPEATS, Peer(PeerRole.CALLER, context.customer.id.text))
    }

    private companion object {
        const val MAX_KEY_LENGTH = 128
    }
}

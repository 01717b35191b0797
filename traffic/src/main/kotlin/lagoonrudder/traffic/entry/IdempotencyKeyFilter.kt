/**
 * Makes sure that a request which may run at most once carries a key by which its repeats are known.
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
        val wellFormed = key.isNotBlank() && key.length <= LONGEST_KEY
        if (wellFormed) return next.proceed(call)
        val refusal = Refusal.Invalid("header Idempotency-Key of 1 to $LONGEST_KEY characters")
        return Outcome.Refused(refusal, Step.GUARD_REPEATS, Peer(PeerRole.CALLER, context.customer.id.text))
    }

    private companion object {
        const val LONGEST_KEY = 128
    }
}

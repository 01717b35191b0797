/**
 * Counts a request while it is in hand and reports how it ended.
 */
package lagoonrudder.traffic.entry

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import lagoonrudder.model.Clock
import lagoonrudder.model.Outcome
import lagoonrudder.traffic.Filter
import lagoonrudder.traffic.Next
import kotlin.time.Duration

/** Receives the end of each request; called from traffic threads. */
fun interface EntryListener {
    fun ended(
        call: EntryCall,
        outcome: Outcome,
        took: Duration,
    )
}

class AccountingFilter(
    private val control: EntryControl,
    private val clock: Clock,
    private val listener: EntryListener,
) : Filter<EntryCall> {
    override suspend fun handle(
        call: EntryCall,
        next: Next<EntryCall>,
    ): Outcome {
        control.thread.decide { control.service.onRequestStarted() }
        try {
            val outcome = next.proceed(call)
            listener.ended(call, outcome, clock.elapsed() - call.receivedAt)
            return outcome
        } finally {
            withContext(NonCancellable) { control.thread.decide { control.service.ended() } }
        }
    }
}

/** The filters of an entry daemon in their order. */
fun entryFilters(
    account: AccountingFilter,
    identify: IdentifyFilter,
    admit: AdmissionFilter,
    relay: RelayFilter,
    send: SendFilter,
): List<Filter<EntryCall>> = listOf(account, identify, IdempotencyKeyFilter(), admit, relay, send)

/**
 * Decides when each back end leaves an older version for a declared one.
 *
 * Back ends switch one after the other, so that most of them take work at any time. Nothing is agreed: every target daemon
 * works out the same order.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.BackEnd
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.ServiceId
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.rendezvousOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * When a back end closes. Until [othersServeUntil] enough others hold its version to take the requests that are still running
 * there; null when they can't.
 */
data class ScheduledSwitch(
    val at: Duration,
    private val othersServeUntil: Duration?,
) {
    /** What becomes of running requests when the back end closes at [time], which may be later than its turn. */
    fun handover(time: Duration): Handover =
        if (othersServeUntil != null && time < othersServeUntil) Handover.RESUME_ELSEWHERE else Handover.DRAIN
}

/** What a back end that switches does with running requests that have not ended soon after it closed. */
enum class Handover {
    /** Breaks them off; they go on at back ends that still hold their version. */
    RESUME_ELSEWHERE,

    /** Lets them end, since hardly any other back end holds their version any more. */
    DRAIN,
}

class SwitchSchedule(
    private val storeView: StoreViewController,
) {
    /** When [backEnd], which holds [held], is to close to load [number]; null while it holds that version or none. */
    fun scheduledSwitch(
        backEnd: BackEnd,
        held: HeldWeights?,
        number: WeightNumber,
    ): ScheduledSwitch? {
        val model = held?.model ?: return null
        val declared = storeView.declaration(model, number) ?: return null
        val oldest = storeView.oldestUnmet(model, held.number) ?: return null
        val candidates = storeView.backEnds.filter { it.service == backEnd.service }.map { it.id }
        val order = rendezvousOrder("${model.text} ${number.number}", candidates) { it.text }
        val place = order.indexOf(backEnd.id).coerceAtLeast(0)
        val first = declared.since + FIRST_TURN
        val last = (oldest.since + FIRST_TURN + TURNS_SPREAD).coerceAtLeast(first)
        val canGoOn = order.size >= FEWEST_FOR_HANDOVER && allGoOn(backEnd.service)
        return ScheduledSwitch(
            at = first + (last - first) * (place.toDouble() / order.size.coerceAtLeast(1)),
            othersServeUntil = if (canGoOn) first + (last - first) * HANDED_OVER else null,
        )
    }

    /** Whether every request for [service] can go on at a second back end. */
    private fun allGoOn(service: ServiceId): Boolean =
        storeView.serving
            ?.routes
            .orEmpty()
            .filter { route -> route.shares.any { it.service == service } }
            .all { it.kind.retryable && it.attempts > 1 }

    private companion object {
        /** A copy takes three seconds over a target's link, less when it overlaps the origin's sending. */
        val FIRST_TURN = 3_000.milliseconds

        /** The part of the turns after which too few back ends hold the older version to take the streams of others. */
        const val HANDED_OVER = 0.8
        const val FEWEST_FOR_HANDOVER = 4

        /** The last back end closes before requests on the older version end, and finishes its work after that. */
        val TURNS_SPREAD = 3_100.milliseconds
    }
}

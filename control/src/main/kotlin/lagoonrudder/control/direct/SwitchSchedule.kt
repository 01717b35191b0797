/**
 * Decides when each back end switches from an older version to a declared one.
 *
 * Back ends switch one after another, so that most of them serve requests at any time. There is no coordination: every
 * target daemon computes the same order.
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
 * The time at which a back end stops accepting requests in order to switch. Until [othersServeUntil] enough other back ends
 * hold its version to resume its unfinished requests; null if they can't be resumed elsewhere.
 */
data class ScheduledSwitch(
    val at: Duration,
    private val othersServeUntil: Duration?,
) {
    /** Returns what happens to running requests if the back end stops accepting at [time], which may be later than scheduled. */
    fun handover(time: Duration): Handover =
        if (othersServeUntil != null && time < othersServeUntil) Handover.RESUME_ELSEWHERE else Handover.DRAIN
}

/** What a switching back end does with requests that are still running shortly after it stopped accepting new ones. */
enum class Handover {
    /** Aborts them; they resume at back ends that still hold their version. */
    RESUME_ELSEWHERE,

    /** Lets them complete, since hardly any other back end still holds their version. */
    DRAIN,
}

class SwitchSchedule(
    private val storeView: StoreViewController,
) {
    /** Returns when [backEnd], which holds [held], stops accepting in order to load [number]; null if it holds that version or none. */
    fun scheduledSwitch(
        backEnd: BackEnd,
        held: HeldWeights?,
        number: WeightNumber,
    ): ScheduledSwitch? {
        val model = held?.model ?: return null
        val declared = storeView.versions.declaration(model, number) ?: return null
        val oldest = storeView.versions.oldestUnmet(model, held.number) ?: return null
        val candidates = storeView.backEnds.filter { it.service == backEnd.service }.map { it.id }
        val order = rendezvousOrder("${model.text} ${number.number}", candidates) { it.text }
        val position = order.indexOf(backEnd.id).coerceAtLeast(0)
        val first = declared.countsFrom + FIRST_SWITCH_DELAY
        val last = (oldest.limitAt - LAST_SWITCH_MARGIN).coerceAtLeast(first)
        val canResumeElsewhere = order.size >= MIN_BACK_ENDS_FOR_HANDOVER && allResumable(backEnd.service)
        return ScheduledSwitch(
            at = first + (last - first) * (position.toDouble() / order.size.coerceAtLeast(1)),
            othersServeUntil = if (canResumeElsewhere) first + (last - first) * HANDOVER_PART else null,
        )
    }

    /** Returns whether every request for [service] can be resumed at a second back end. */
    private fun allResumable(service: ServiceId): Boolean =
        storeView.serving
            ?.routes
            .orEmpty()
            .filter { route -> route.shares.any { it.service == service } }
            .all { it.kind.retryable && it.attempts > 1 }

    private companion object {
        /** Copying the weights over a target's link takes three seconds, less if it overlaps with the transfer from the origin. */
        val FIRST_SWITCH_DELAY = 3_000.milliseconds

        /** The part of the schedule after which too few back ends hold the older version to resume the streams of others. */
        const val HANDOVER_PART = 0.8
        const val MIN_BACK_ENDS_FOR_HANDOVER = 4

        /** The last back end stops accepting before requests on the older version end, and completes its running requests after that. */
        val LAST_SWITCH_MARGIN = 1_900.milliseconds
    }
}

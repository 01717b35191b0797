/**
 * Decides which back ends may get a request, whatever their load: by state, failure domain, home regions and weights.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.BackEnd
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class BackEndEligibility(
    private val topology: Topology,
    private val storeView: StoreViewController,
    private val backEndStates: BackEndStateController,
    private val notices: BackEndNoticeController,
) {
    /** Returns whether [request] may be sent to [backEnd]. */
    fun isEligible(
        backEnd: BackEnd,
        request: PlacementRequest,
        now: Duration,
    ): Boolean {
        val region = topology.regions[backEnd.domain]
        val inHomeRegions = request.homeRegions.all { it.isEmpty() || region in it }
        return isOpen(backEnd, now) && backEnd.id !in request.excluded && inHomeRegions && holdsWeights(backEnd, request.number, now)
    }

    /** Returns whether requests that are bound to no region and no version may be sent to [backEnd]. */
    fun isUsable(
        backEnd: BackEnd,
        now: Duration,
    ): Boolean = isOpen(backEnd, now) && holdsWeights(backEnd, null, now)

    private fun isOpen(
        backEnd: BackEnd,
        now: Duration,
    ): Boolean =
        !backEnd.leaving &&
            !notices.isLeaving(backEnd) &&
            backEnd.domain !in storeView.evacuated &&
            !backEndStates.closed(backEnd, now)

    private fun holdsWeights(
        backEnd: BackEnd,
        pinned: WeightNumber?,
        now: Duration,
    ): Boolean {
        val layout = storeView.serving?.service(backEnd.service)?.weights ?: return true
        val held = backEndStates.held(backEnd, now) ?: return false
        if (held.layers < layout.layers) return false
        if (pinned != null && held.number != pinned) return false
        val binding = bindingNumber(held, now + SWITCH_MARGIN) ?: return true
        return held.number >= binding
    }

    /**
     * Returns the version that [backEnd] must still hold when [request] arrives there: the one that it is believed to hold, if the request
     * may not run on each version. Null if it may.
     */
    fun expectedNumber(
        backEnd: BackEnd,
        request: PlacementRequest,
        now: Duration,
    ): WeightNumber? {
        val held = backEndStates.held(backEnd, now) ?: return request.number
        val mayRunOnEach = request.number == null && bindingNumber(held, now + SWITCH_MARGIN) == null
        return if (mayRunOnEach) null else held.number
    }

    /** Returns the version on which or on a newer one requests must begin at [time]. */
    private fun bindingNumber(
        held: HeldWeights,
        time: Duration,
    ): WeightNumber? = storeView.versions.bindingAt(held.model, time)?.number

    /** Describes why no back end is eligible for [request]. */
    fun describeNone(
        request: PlacementRequest,
        now: Duration,
    ): String {
        val all = storeView.backEndsOf(request.service)
        val withoutWeights = all.count { !holdsWeights(it, request.number, now) }
        val leaving = all.count { it.leaving || notices.isLeaving(it) }
        return "no back end listed=${all.size} leaving=$leaving without-weights=$withoutWeights passed-over=${request.excluded.size}"
    }

    /** Returns whether [backEnd] is close to its switch deadline, so that a request in its own queue could start too late. */
    fun isNearSwitchDeadline(
        backEnd: BackEnd,
        now: Duration,
    ): Boolean {
        val held = backEndStates.held(backEnd, now) ?: return false
        val binding = bindingNumber(held, now + SWITCH_MARGIN + DEADLINE_NOTICE) ?: return false
        return held.number < binding
    }

    private companion object {
        /** Requests sent within this margin may still wait in a back end's own queue at the switch deadline. */
        val SWITCH_MARGIN = 1_200.milliseconds

        /**
         * For this long before the margin, a back end with the older version gets no more than it can start immediately,
         * because the reports about its load may be stale.
         */
        val DEADLINE_NOTICE = 1_000.milliseconds
    }
}

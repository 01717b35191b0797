/**
 * Decides by when a request must have begun at a back end, so that none begins on an older version after the limit of a declared one.
 *
 * A back end begins a request on the version that it has loaded then, and the request may have waited in its queue. So a request that
 * was sent in time may still begin too late, and is given up early enough for its cancellation to reach the back end first. A version
 * may be declared while a request waits, and the back end may have loaded it by its limit, so the limit is asked for again.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.BackEnd
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Whether a request that was sent to a back end may still begin there. */
sealed class BeginLimit {
    /** It may; one that has not begun by [until] needs another decision then. */
    data class Open(
        val until: Duration,
    ) : BeginLimit()

    /** It must not, since it would begin on an older version than [required]. */
    data class Passed(
        val required: WeightNumber,
    ) : BeginLimit()
}

internal class BeginLimits(
    private val storeView: StoreViewController,
    private val backEndStates: BackEndStateController,
) {
    fun limit(
        backEnd: BackEnd,
        now: Duration,
    ): BeginLimit {
        if (!holdsWeights(backEnd)) return BeginLimit.Open(Duration.INFINITE)
        val renewal = renewalAt(now)
        val unmet = oldestUnmet(backEnd, now) ?: return BeginLimit.Open(renewal)
        return if (passesAt(unmet) <= now) BeginLimit.Passed(unmet.number) else BeginLimit.Open(minOf(passesAt(unmet), renewal))
    }

    /** A daemon that has started may hear of a version whose limit is over, which binds it from a certain time on. */
    private fun renewalAt(now: Duration): Duration {
        val renewal = now + storeView.versions.versionLimit * RENEWAL_SHARE
        val binding = (storeView.versions.bindingFrom - CANCELLATION_MARGIN).takeIf { it > now }
        return minOf(renewal, binding ?: renewal).coerceAtLeast(now + MIN_RENEWAL)
    }

    /** Returns the time that is left to begin a request at [backEnd]; infinite if it holds every declared version. */
    fun timeLeft(
        backEnd: BackEnd,
        now: Duration,
    ): Duration = oldestUnmet(backEnd, now)?.let { passesAt(it) - now } ?: Duration.INFINITE

    private fun passesAt(unmet: DeclaredWeights): Duration = unmet.limitAt - CANCELLATION_MARGIN

    /** Returns the oldest declaration that the weights of [backEnd] don't meet; its registration may have changed since it was chosen. */
    private fun oldestUnmet(
        backEnd: BackEnd,
        now: Duration,
    ): DeclaredWeights? {
        if (!holdsWeights(backEnd)) return null
        val registered = storeView.backEnd(backEnd.id)?.takeIf { it.born == backEnd.born } ?: backEnd
        val held = backEndStates.held(registered, now) ?: return null
        return storeView.versions.oldestUnmet(held.model, held.number)
    }

    private fun holdsWeights(backEnd: BackEnd): Boolean = storeView.serving?.service(backEnd.service)?.weights != null

    private companion object {
        /** The longest way of a cancellation to a back end in another region, and the time until it is noticed there. */
        val CANCELLATION_MARGIN = 300.milliseconds

        /** A declaration that this process hears of late has less than the whole limit left. */
        const val RENEWAL_SHARE = 0.5
        val MIN_RENEWAL = 100.milliseconds
    }
}

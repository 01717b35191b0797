/**
 * Decides when each back end leaves an older version for a declared one.
 *
 * Back ends switch one after the other, so that most of them take work at any time. Nothing is agreed: every process works
 * out the same order, so an entry daemon knows beforehand when a back end is going to close.
 */
package lagoonrudder.control.direct

import lagoonrudder.model.BackEnd
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.ModelId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import lagoonrudder.model.rendezvousOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** When a back end closes, and what becomes of the work that is then running there. */
data class SwitchTurn(
    val at: Duration,
    val handover: Handover,
)

/** What a back end that switches does with running requests that have not ended soon after it closed. */
enum class Handover {
    /** Breaks them off; they go on at back ends that still hold their version. */
    GO_ON_ELSEWHERE,

    /** Lets them end, since hardly any other back end holds their version any more. */
    LET_END,
}

class SwitchTurns(
    private val publication: PublicationController,
) {
    /** What the order of a service's back ends depends on. */
    private data class OrderKey(
        val service: ServiceId,
        val model: ModelId,
        val number: WeightNumber,
        val at: Long,
    )

    private var key: OrderKey? = null
    private var order = emptyList<TargetId>()

    /** When [backEnd], which holds [held], is to close to load [number]; null while it holds that version or none. */
    fun turn(
        backEnd: BackEnd,
        held: HeldWeights?,
        number: WeightNumber,
    ): SwitchTurn? {
        val model = held?.model ?: return null
        val declared = publication.declaration(model, number) ?: return null
        val oldest = publication.oldestUnmet(model, held.number) ?: return null
        val order = order(OrderKey(backEnd.service, model, number, publication.at))
        val place = order.indexOf(backEnd.id).coerceAtLeast(0)
        val first = declared.since + FIRST_TURN
        val last = (oldest.since + FIRST_TURN + TURNS_SPREAD).coerceAtLeast(first)
        val share = place.toDouble() / order.size.coerceAtLeast(1)
        val others = share < HANDED_OVER && order.size >= FEWEST_FOR_HANDOVER
        val handover = if (others && allGoOn(backEnd.service)) Handover.GO_ON_ELSEWHERE else Handover.LET_END
        return SwitchTurn(first + (last - first) * share, handover)
    }

    /** Whether every request for [service] can go on at a second back end. */
    private fun allGoOn(service: ServiceId): Boolean =
        publication.serving
            ?.routes
            .orEmpty()
            .filter { route -> route.shares.any { it.service == service } }
            .all { it.kind.repeatable && it.attempts > 1 }

    private fun order(wanted: OrderKey): List<TargetId> {
        if (wanted == key) return order
        val candidates = publication.backEnds.filter { it.service == wanted.service }.map { it.id }
        key = wanted
        order = rendezvousOrder("${wanted.model.text} ${wanted.number.number}", candidates) { it.text }
        return order
    }

    private companion object {
        /** A copy takes three seconds over a target's link, less when it overlaps the origin's sending. */
        val FIRST_TURN = 3_000.milliseconds

        /** The part of the back ends whose unfinished streams the others, which switch later, can take. */
        const val HANDED_OVER = 0.8
        const val FEWEST_FOR_HANDOVER = 4

        /** The last back end closes before requests on the older version end, and finishes its work after that. */
        val TURNS_SPREAD = 3_100.milliseconds
    }
}

/**
 * The daemons, engines and kinds of callers of an [OverloadSimulation], and what fails while it is played.
 */
package lagoonrudder.standins.measure

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Callers of one rank: their [share] of the usual load, and the latency objective of their route. */
data class SimulatedRank(
    val rank: Int,
    val share: Double,
    val objective: Duration,
)

/** Daemons and engines are distributed evenly over [domains]. */
data class SimulatedFleet(
    val entryCount: Int = 6,
    val engineCount: Int = 8,
    val slots: Int = 16,
    val domains: Int = 1,
    val ranks: List<SimulatedRank> = listOf(SimulatedRank(1, 1.0, 400.milliseconds)),
)

/** What fails during the load of a pattern. */
sealed class SimulatedFault {
    data object Nothing : SimulatedFault()

    /** A fifth of the engines is lost when the load begins, with what they run. The store lists them for some time longer. */
    data object EnginesLost : SimulatedFault()

    /** The daemons of the first domain reach no other domain while the load lasts, and the others don't reach it. */
    data object DomainCutOff : SimulatedFault()

    /** Every second daemon is started again one second after the load began, and loses what it knew and had in flight. */
    data object DaemonsRestarted : SimulatedFault()
}

/** What callers of one rank got; shares are of those who began during the load. */
data class RankResult(
    val rank: Int,
    val served: Double,
    val inTime: Double,
    val refusedLate: Double,
    val refusedAgain: Double,
)

/**
 * How the admission level followed the load: [boundAfter] is when half of the daemons bound it, counted from the start of the load, and
 * [reversals] the most changes of direction at one daemon in the 5 s after its end. [refusedWhileFree] is the share of refusals that were
 * given while a quarter of the slots was free.
 */
data class AdmissionTrace(
    val boundAfter: Duration?,
    val reversals: Int,
    val refusedWhileFree: Double,
)

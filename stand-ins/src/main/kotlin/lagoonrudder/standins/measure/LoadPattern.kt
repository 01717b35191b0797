/**
 * The loads that [OverloadSimulation] plays, and what it measures.
 */
package lagoonrudder.standins.measure

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A load over time. Rates are multiples of the capacity of all back ends. */
sealed class LoadPattern {
    /** The rate outside of the time from [START] to [end]. */
    open val before: Double get() = 0.8

    abstract val end: Duration

    /** The rate rises to [rate]. */
    data class Step(
        val rate: Double,
        override val end: Duration = 15.seconds,
    ) : LoadPattern()

    /** Half of the back ends are gone, as during a switch of versions. */
    data class BackEndsGone(
        override val end: Duration = START + 3.seconds,
    ) : LoadPattern()

    /** One customer of ten sends [factor] times its usual. */
    data class CustomerFlood(
        val factor: Double,
        override val end: Duration = 15.seconds,
    ) : LoadPattern()

    /** At [rate], callers whose number is in [share] return at once, and up to three times. */
    data class AbusiveRetries(
        val rate: Double,
        val share: Double,
        override val end: Duration = 15.seconds,
    ) : LoadPattern()

    /** The callers of the least urgent rank send [factor] times their usual, and [fault] happens. */
    data class UrgencyBurst(
        val factor: Double,
        val fault: SimulatedFault = SimulatedFault.Nothing,
        override val end: Duration = START + 6.seconds,
    ) : LoadPattern()

    companion object {
        val START = 5.seconds
    }
}

/** The result for the requests that started during the load; shares are of these requests, but [goodput] is of the capacity. */
data class OverloadResult(
    val goodput: Double,
    val inTime: Double,
    val late: Double,
    val refusedAgain: Double,
    val medianWaitOfRefused: Duration,
    val leastServedCustomer: Double,
    val ranks: List<RankResult>,
    val admission: AdmissionTrace,
)

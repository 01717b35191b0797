/**
 * Simulations in virtual time, on a scheduler that is advanced by the calling thread and has no threads of its own.
 */
@file:OptIn(ExperimentalCoroutinesApi::class)

package lagoonrudder.standins.measure

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestCoroutineScheduler
import lagoonrudder.model.ObjectSet
import lagoonrudder.standins.virtual.VirtualOptions
import lagoonrudder.standins.virtual.VirtualSite
import lagoonrudder.standins.virtual.virtualSite
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Creates and starts a site, runs [script] in it, advances the virtual time by [duration] and closes the site. */
fun runSimulation(
    objects: ObjectSet,
    duration: Duration,
    build: VirtualOptions.() -> Unit,
    script: suspend VirtualSite.() -> Unit,
): VirtualSite {
    val scheduler = TestCoroutineScheduler()
    val site = virtualSite(scheduler, objects, build)
    site.start()
    site.scope.launch { site.script() }
    scheduler.advanceTimeBy(duration)
    site.close()
    scheduler.advanceUntilIdle()
    return site
}

/**
 * Starts [call] at the times of a Poisson process of rate [perSecond], with the number of the call from 0, until [until] has passed.
 *
 * Calls run concurrently and are not awaited.
 */
suspend fun VirtualSite.poissonArrivals(
    random: Random,
    perSecond: Double,
    until: Duration,
    call: suspend (Int) -> Unit,
) {
    var nextArrival = clock.elapsed()
    var callCount = 0
    while (nextArrival < until) {
        nextArrival += (-ln(1.0 - random.nextDouble()) / perSecond).seconds
        val wait = nextArrival - clock.elapsed()
        if (wait > 1.milliseconds) delay(wait)
        val index = callCount++
        scope.launch { call(index) }
    }
}

/**
 * Runs in virtual time: a scheduler that is advanced step by step, without threads of its own.
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

/** Builds and starts a site, runs [script] in it, advances the time by [length], and closes it. */
fun runSimulation(
    objects: ObjectSet,
    length: Duration,
    build: VirtualOptions.() -> Unit,
    script: suspend VirtualSite.() -> Unit,
): VirtualSite {
    val scheduler = TestCoroutineScheduler()
    val site = virtualSite(scheduler, objects, build)
    site.start()
    site.scope.launch { site.script() }
    scheduler.advanceTimeBy(length)
    site.close()
    scheduler.advanceUntilIdle()
    return site
}

/** Starts [call] at random times, on average [perSecond] times a second, until [until]. */
suspend fun VirtualSite.poissonArrivals(
    random: Random,
    perSecond: Double,
    until: Duration,
    call: suspend (Int) -> Unit,
) {
    var next = clock.elapsed()
    var number = 0
    while (next < until) {
        next += (-ln(1.0 - random.nextDouble()) / perSecond).seconds
        val wait = next - clock.elapsed()
        if (wait > 1.milliseconds) delay(wait)
        val own = number++
        scope.launch { call(own) }
    }
}

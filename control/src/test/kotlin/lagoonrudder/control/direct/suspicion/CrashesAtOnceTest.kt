package lagoonrudder.control.direct.suspicion

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val DAEMONS = 3
private const val BACK_ENDS = 8
private const val POPULAR = "popular"
private const val NEW = "new"
private const val MAX_LATE_ARRIVALS = 3

/** Each back end once, and then as many as may arrive late, before and after the time to find the cause. */
private const val MAX_CRASHES = BACK_ENDS + 2 * MAX_LATE_ARRIVALS

/** How long after crashes daemons may take to find their cause. */
private val CONTACT = 3.seconds
private val START = 2.seconds
private val PLAY_TIME = 60.seconds

private sealed class Spread {
    data object OneDaemon : Spread()

    data object AllDaemons : Spread()
}

/** Batches of [size] requests with the deadly part at once, [interval] apart. */
private data class Batches(
    val size: Int,
    val interval: Duration,
    val spread: Spread = Spread.AllDaemons,
)

private fun SuspicionFleet.sendSound() =
    every(30.milliseconds) {
        request(POPULAR, "sound")
    }

private fun SuspicionFleet.sendDeadly(batches: Batches) =
    every(batches.interval, from = START) {
        repeat(batches.size) {
            when (batches.spread) {
                Spread.AllDaemons -> request(POPULAR, DEADLY, daemon = it % DAEMONS)
                Spread.OneDaemon -> request(POPULAR, DEADLY, daemon = 0)
            }
        }
    }

/** Losses of back ends without a request's fault. */
private sealed class Loss {
    abstract val name: String

    data class AtOnce(
        override val name: String,
        val backEnds: Int,
    ) : Loss()

    data class InTurn(
        override val name: String,
        val interval: Duration,
    ) : Loss()
}

private val losses =
    listOf(
        Loss.AtOnce("a rack", 2),
        Loss.AtOnce("a failure domain", 3),
        Loss.AtOnce("half of the service", 4),
        Loss.AtOnce("all of the service", BACK_ENDS),
        Loss.InTurn("killed within the same second", 80.milliseconds),
        Loss.InTurn("killed one after the other", 500.milliseconds),
        Loss.InTurn("a release", 3.seconds),
    )

/** Returns when the last back end is lost. */
private fun SuspicionFleet.play(loss: Loss): Duration =
    when (loss) {
        is Loss.AtOnce -> START.also { at(it) { lose(0 until loss.backEnds) } }
        is Loss.InTurn -> {
            repeat(BACK_ENDS) { at(START + loss.interval * it) { lose(listOf(it)) } }
            START + loss.interval * (BACK_ENDS - 1)
        }
    }

private fun SuspicionFleet.heldBack(part: String) = decisions.filter { part in it.parts && it.verdict is Verdict.HeldBack }

class CrashesAtOnceTest :
    FunSpec({
        // Crashes at one time counted as one, and newer ones replaced those of earlier batches, so a part sent in batches went on.
        for (size in listOf(1, 2, 3, 4, 5, 6, 8, 11, 24)) {
            for (interval in listOf(200.milliseconds, 1.seconds, 2.seconds, 5.seconds, 12.seconds)) {
                for (spread in listOf(Spread.AllDaemons, Spread.OneDaemon)) {
                    val batches = Batches(size, interval, spread)
                    test("at most three requests with a deadly part arrive once it is found: $batches") {
                        for (bornAnew in listOf(true, false)) {
                            for (seed in 1..4) {
                                val fleet = SuspicionFleet(DAEMONS, BACK_ENDS, seed, bornAnew)
                                fleet.sendSound()
                                fleet.sendDeadly(batches)
                                fleet.run(PLAY_TIME)
                                withClue("seed $seed, bornAnew $bornAnew, crashes at ${fleet.crashes}") {
                                    fleet.lateArrivals(CONTACT) shouldBeLessThanOrEqual MAX_LATE_ARRIVALS
                                    if (fleet.crashes.size >=
                                        5
                                    ) {
                                        fleet.crashes.size shouldBeLessThanOrEqual MAX_CRASHES
                                    }
                                }
                            }
                        }
                    }
                }
            }
        }

        test("two batches a second apart, and eleven crashes one by one, are followed by at most three requests") {
            for (seed in 1..10) {
                val fleet = SuspicionFleet(DAEMONS, BACK_ENDS, seed)
                fleet.sendSound()
                for (batchAt in listOf(START, START + 1.seconds)) {
                    fleet.at(batchAt) { repeat(6) { fleet.request(POPULAR, DEADLY, daemon = it % DAEMONS) } }
                }
                fleet.every(700.milliseconds, from = START + 2.seconds) { fleet.request(POPULAR, DEADLY) }
                fleet.run(PLAY_TIME)
                withClue("seed $seed") { fleet.lateArrivals(CONTACT) shouldBeLessThanOrEqual MAX_LATE_ARRIVALS }
            }
        }

        // A cut or restarted daemon forgot the accusation, or two probes at once cleared it.
        test("neither a restarted daemon nor one that comes back from a cut ends an accusation") {
            for (seed in 1..10) {
                val fleet = SuspicionFleet(DAEMONS, BACK_ENDS, seed)
                fleet.sendSound()
                fleet.sendDeadly(Batches(6, 5.seconds))
                fleet.at(START + 3.seconds) { fleet.restart(0) }
                fleet.at(START + 6.seconds) { fleet.restart(1) }
                fleet.at(START + 11.seconds) { fleet.cut(2, isCut = true) }
                fleet.at(START + 14.seconds) { fleet.cut(2, isCut = false) }
                fleet.run(PLAY_TIME)
                withClue("seed $seed, crashes at ${fleet.crashes}") {
                    fleet.lateArrivals(CONTACT) shouldBeLessThanOrEqual MAX_LATE_ARRIVALS
                    fleet.accusedParts() shouldBe List(DAEMONS) { 1 }
                    fleet.digests().size shouldBe 1
                }
            }
        }

        // A part that was answered before was held back because of back ends that were lost at once.
        for (loss in losses) {
            test("an answered part stays free: ${loss.name}") {
                for (seed in 1..10) {
                    val fleet = SuspicionFleet(DAEMONS, BACK_ENDS, seed)
                    fleet.sendSound()
                    fleet.play(loss)
                    fleet.run(30.seconds)
                    withClue("seed $seed") { fleet.heldBack(POPULAR).map { it.at }.shouldBeEmpty() }
                }
            }
        }

        // Nothing tells a sound part from a deadly one before the first answer to it.
        for (loss in losses) {
            test("a part that was never answered is tried one request at a time, and served soon: ${loss.name}") {
                for (seed in 1..10) {
                    val fleet = SuspicionFleet(DAEMONS, BACK_ENDS, seed)
                    fleet.sendSound()
                    fleet.every(10.milliseconds, from = START - 50.milliseconds) { fleet.request(POPULAR, NEW) }
                    val lastLoss = fleet.play(loss)
                    fleet.run(40.seconds)
                    withClue("seed $seed") {
                        val served = fleet.decisions.filter { NEW in it.parts && it.at >= lastLoss + CONTACT * 2 }
                        served.size shouldBeGreaterThan 100
                        served.count { it.verdict is Verdict.HeldBack } shouldBe 0
                    }
                }
            }
        }

        test("one request at a time finds out about a part that was never answered") {
            for (seed in 1..10) {
                val fleet = SuspicionFleet(DAEMONS, BACK_ENDS, seed)
                fleet.sendSound()
                fleet.at(START) { repeat(24) { fleet.request(POPULAR, NEW, daemon = it % DAEMONS) } }
                fleet.at(START + 50.milliseconds) { fleet.lose(0 until BACK_ENDS) }
                fleet.every(10.milliseconds, from = START + 300.milliseconds) { fleet.request(POPULAR, NEW) }
                fleet.run(START + CONTACT * 2)
                val accusedFrom = fleet.heldBack(NEW).first().at
                val freeFrom = fleet.decisions.first { NEW in it.parts && it.at > accusedFrom && it.verdict is Verdict.Free }.at
                withClue("seed $seed") { fleet.arrivals.count { NEW in it.parts && it.at > accusedFrom && it.at < freeFrom } shouldBe 1 }
            }
        }

        test("a probe whose daemon ends before it tells of the crash is followed by at most three requests") {
            for (seed in 1..10) {
                val fleet = SuspicionFleet(DAEMONS, BACK_ENDS, seed)
                fleet.sendSound()
                fleet.sendDeadly(Batches(6, 5.seconds))
                fleet.onFirstProbe = { fleet.restart(it) }
                fleet.run(PLAY_TIME)
                withClue(
                    "seed $seed, crashes at ${fleet.crashes}",
                ) { fleet.lateArrivals(CONTACT) shouldBeLessThanOrEqual MAX_LATE_ARRIVALS }
            }
        }
    })

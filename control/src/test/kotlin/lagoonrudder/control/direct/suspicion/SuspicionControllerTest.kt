package lagoonrudder.control.direct.suspicion

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.control.direct.FAR
import lagoonrudder.control.direct.LivePeer
import lagoonrudder.control.direct.NEAR
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.backEnd
import lagoonrudder.control.direct.peer
import lagoonrudder.model.BackEndRun
import lagoonrudder.model.PromptPartId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private fun parts(vararg names: String) = names.mapTo(mutableSetOf()) { PromptPartId(it) }

/** Several daemons whose clocks differ, in virtual time. */
private class Daemons(
    count: Int,
) {
    private val members = (0 until count).map { peer("daemon-$it", if (it % 2 == 0) NEAR else FAR) }
    private val peerControllers = members.map { PeerController(it, emptyList()) }
    val all = peerControllers.map { SuspicionController(it) }

    /** Daemons that exchange nothing. */
    val cut = mutableSetOf<SuspicionController>()
    var now = 100.seconds
    private var crashes = 0

    init {
        for (each in peerControllers) each.mergeLivePeers(members.map { LivePeer(it, Duration.ZERO) }, clockOf(0))
    }

    fun clockOf(index: Int): Duration = now + 1_000.seconds * index

    private fun clockOf(daemon: SuspicionController) = clockOf(all.indexOf(daemon))

    fun wait(
        time: Duration,
        order: () -> List<SuspicionController> = { all },
    ) {
        now += time
        peerControllers.forEachIndexed { index, each ->
            val heard = if (all[index] in cut) emptyList() else members.map { LivePeer(it, Duration.ZERO) }
            each.mergeLivePeers(heard, clockOf(index))
        }
        all.forEach { it.onTick(clockOf(it)) }
        gossip(order)
    }

    /** One round of gossip in which each daemon exchanges with each other one, in [order]. */
    fun gossip(order: () -> List<SuspicionController> = { all }) {
        for (sender in order() - cut) for (receiver in order() - cut) send(sender, receiver)
    }

    fun send(
        sender: SuspicionController,
        receiver: SuspicionController,
    ) {
        if (sender.digest != receiver.digest) receiver.onGossipReceived(sender.report(clockOf(sender)), clockOf(receiver))
    }

    /** Another back end crashes under a request with [names] that [daemon] sent. */
    fun crash(
        daemon: SuspicionController,
        vararg names: String,
    ) = daemon.onCrash(backEnd("i-${crashes++}"), parts(*names), clockOf(daemon))

    fun answer(
        daemon: SuspicionController,
        vararg names: String,
    ) = daemon.onAnswered(parts(*names), clockOf(daemon))

    fun verdict(
        daemon: SuspicionController,
        vararg names: String,
        mayHaveRun: Boolean = false,
    ) = daemon.verdict(parts(*names), mayHaveRun, clockOf(daemon))

    /** Sends a request if it may be sent, and returns whether it reached a back end. */
    fun send(
        daemon: SuspicionController,
        vararg names: String,
    ): Boolean =
        when (val verdict = verdict(daemon, *names)) {
            is Verdict.HeldBack -> false
            is Verdict.Probe -> true.also { daemon.onProbeSent(verdict.suspicion, clockOf(daemon)) }
            Verdict.Free -> true
        }

    fun accuse(vararg names: String) =
        repeat(3) {
            crash(all[it % all.size], *names)
            wait(1.seconds)
        }
}

class SuspicionControllerTest :
    FunSpec({
        test("a part that crashed three back ends is held back by all daemons after a round of gossip, and its neighbours are not") {
            with(Daemons(4)) {
                crash(all[0], "system", "deadly")
                wait(1.seconds)
                answer(all[3], "system", "other")
                crash(all[1], "deadly", "history")
                wait(1.seconds)
                crash(all[2], "system", "deadly", "more")
                gossip()
                for (each in all) {
                    verdict(each, "deadly").shouldBeInstanceOf<Verdict.HeldBack>()
                    verdict(each, "new", "deadly", "system").shouldBeInstanceOf<Verdict.HeldBack>()
                    verdict(each, "system", "other", "history", "more") shouldBe Verdict.Free
                }
                all.map { it.accusedParts }.distinct() shouldBe listOf(1)
                all.map { it.digest }.distinct().size shouldBe 1
            }
        }

        test("back ends that are lost at once accuse no part, however popular") {
            with(Daemons(3)) {
                answer(all[1], "popular")
                repeat(20) {
                    crash(all[it % 3], "popular")
                    now += 4.milliseconds
                }
                gossip()
                all.forEach { verdict(it, "popular", mayHaveRun = true) shouldBe Verdict.Free }
            }
        }

        // Newer crashes replaced older ones, so that batches of crashes never left enough episodes to accuse their part.
        test("crashes that accuse a part are kept, however many follow and in whatever order daemons hear of them") {
            for (size in 1..24) {
                with(Daemons(4)) {
                    val random = Random(size)
                    answer(all[0], "deadly")
                    repeat(3) {
                        repeat(size) { crash(all.random(random), "deadly") }
                        wait(1.seconds) { all.shuffled(random) }
                    }
                    all.forEach { verdict(it, "deadly").shouldBeInstanceOf<Verdict.HeldBack>() }
                    all.map { it.accusedParts }.distinct() shouldBe listOf(1)
                    all.map { it.digest }.distinct().size shouldBe 1
                    all.forEach { it.report(clockOf(all.indexOf(it))).runs.size shouldBeLessThanOrEqual 8 }
                }
            }
        }

        test("back ends killed one after the other accuse no part that is answered in between") {
            with(Daemons(3)) {
                repeat(20) {
                    crash(all[it % 3], "popular")
                    wait(500.milliseconds)
                    answer(all[(it + 1) % 3], "popular")
                    wait(500.milliseconds)
                    verdict(all[it % 3], "popular", mayHaveRun = true) shouldBe Verdict.Free
                }
            }
        }

        test("crashes that a stronger accusation explains speak against no other part") {
            with(Daemons(2)) {
                repeat(3) {
                    crash(all[0], "deadly", "rare")
                    wait(1.seconds)
                }
                crash(all[1], "deadly")
                gossip()
                all.forEach { verdict(it, "rare") shouldBe Verdict.Free }
                all.forEach { verdict(it, "rare", "deadly").shouldBeInstanceOf<Verdict.HeldBack>() }
            }
        }

        test("a request of which only one of several suspected parts is known to be in all crashes is served") {
            with(Daemons(1)) {
                repeat(3) {
                    crash(all[0], "one", "two")
                    wait(1.seconds)
                }
                verdict(all[0], "one", "two").shouldBeInstanceOf<Verdict.HeldBack>()
                verdict(all[0], "one") shouldBe Verdict.Free
                answer(all[0], "one")
                verdict(all[0], "one") shouldBe Verdict.Free
                verdict(all[0], "two").shouldBeInstanceOf<Verdict.HeldBack>()
            }
        }

        test("a request that was cut is not tried again once its part crashed two back ends, while new ones still are") {
            with(Daemons(1)) {
                crash(all[0], "part")
                verdict(all[0], "part", mayHaveRun = true) shouldBe Verdict.Free
                wait(1.seconds)
                crash(all[0], "part")
                verdict(all[0], "part", mayHaveRun = true).shouldBeInstanceOf<Verdict.HeldBack>()
                verdict(all[0], "part") shouldBe Verdict.Free
            }
        }

        test("while the part still crashes what it meets, at most three requests reach a back end later than 3 s after the fifth crash") {
            with(Daemons(5)) {
                val crashes = mutableListOf<Duration>()
                repeat(3_000) {
                    val sender = all[it % 5]
                    if (send(sender, "system-$it", "deadly")) {
                        now += 30.milliseconds
                        crashes += now
                        crash(sender, "system-$it", "deadly")
                    }
                    wait(100.milliseconds)
                }
                crashes.count { it > crashes[4] + 3.seconds } shouldBeLessThanOrEqual 3
            }
        }

        test("one daemon at a time probes, and a mended part is served everywhere after one answer") {
            with(Daemons(5)) {
                accuse("mended")
                var probes = 0
                while (probes == 0) {
                    all.forEach { if (send(it, "mended")) probes++ }
                    wait(100.milliseconds)
                    now shouldBeLessThan 2.minutes + 100.seconds
                }
                all.forEach { if (send(it, "mended")) probes++ }
                probes shouldBe 1
                answer(all[0], "mended")
                gossip()
                all.forEach { verdict(it, "mended") shouldBe Verdict.Free }
            }
        }

        test("two daemons that probe at once, since they were cut off from each other, leave the accusation in force") {
            with(Daemons(2)) {
                accuse("deadly")
                cut += all
                val senders = mutableSetOf<SuspicionController>()
                while (senders.size < 2) {
                    wait(100.milliseconds)
                    all.filter { send(it, "deadly") }.forEach {
                        senders += it
                        crash(it, "deadly")
                    }
                    now shouldBeLessThan 2.minutes + 100.seconds
                }
                cut.clear()
                gossip()
                all.forEach { verdict(it, "deadly").shouldBeInstanceOf<Verdict.HeldBack>() }
                wait(9.seconds)
                all.none { send(it, "deadly") } shouldBe true
            }
        }

        test("a probe without a result is followed by another one") {
            with(Daemons(3)) {
                accuse("deadly")
                var probes = 0
                repeat(600) {
                    all.forEach { if (send(it, "deadly")) probes++ }
                    wait(100.milliseconds)
                }
                (probes > 1) shouldBe true
            }
        }

        test("a daemon that has just started, or comes back from a cut, believes what the others do, and old evidence does no harm") {
            with(Daemons(4)) {
                val away = all[3]
                crash(all[0], "popular")
                crash(all[0], "deadly")
                gossip()
                cut += away
                wait(1.seconds)
                answer(all[0], "popular")
                repeat(2) {
                    crash(away, "popular")
                    crash(all[1], "deadly")
                    wait(1.seconds)
                }
                verdict(away, "popular").shouldBeInstanceOf<Verdict.HeldBack>()
                answer(all[0], "popular")
                verdict(away, "deadly") shouldBe Verdict.Free
                cut -= away
                gossip()
                answer(all[2], "popular")
                gossip()
                for (each in all) {
                    verdict(each, "deadly").shouldBeInstanceOf<Verdict.HeldBack>()
                    verdict(each, "popular") shouldBe Verdict.Free
                }
                all.map { it.digest }.distinct().size shouldBe 1
            }
        }

        test("odd evidence of a peer is ignored") {
            with(Daemons(1)) {
                val run = BackEndRun(backEnd("i").id, 1)
                val report = PartReport(PromptPartId("part"), setOf(run), emptySet(), (-5).seconds, wasAnswered = false)
                for (age in listOf((-1).seconds, Duration.INFINITE, 11.minutes)) {
                    all[0].onGossipReceived(EvidenceReport(mapOf(run to age), listOf(report)), clockOf(0))
                }
                all[0].onGossipReceived(EvidenceReport(emptyMap(), listOf(report)), clockOf(0))
                all[0].digest shouldBe 0
            }
        }

        test("an accusation ends by age, and evidence of single crashes much earlier") {
            with(Daemons(2)) {
                accuse("deadly")
                crash(all[0], "once")
                wait(3.minutes)
                all[0].report(clockOf(0)).parts.map { it.part.text } shouldBe listOf("deadly")
                verdict(all[1], "deadly").shouldBeInstanceOf<Verdict>()
                wait(8.minutes)
                verdict(all[1], "deadly") shouldBe Verdict.Free
                all.map { it.digest } shouldBe listOf(0L, 0L)
            }
        }

        test("the evidence is bounded, and a deadly part among many others is still found") {
            with(Daemons(2)) {
                repeat(400) { round ->
                    if (round % 100 == 0) crash(all[0], "deadly")
                    all[round % 2].onCrash(backEnd("lost-$round"), (0 until 50).map { PromptPartId("part-$round-$it") }, clockOf(round % 2))
                    wait(20.milliseconds)
                }
                val report = all[1].report(clockOf(1))
                report.parts.size shouldBeLessThanOrEqualTo 256
                report.runs.size shouldBeLessThanOrEqualTo 256 * 8
                all.forEach { verdict(it, "deadly").shouldBeInstanceOf<Verdict.HeldBack>() }
            }
        }

        test("a refusal names the part, the crashes that accuse it and their ages, and when a probe may clear it") {
            with(Daemons(1)) {
                accuse("deadly")
                val verdict = verdict(all[0], "deadly").shouldBeInstanceOf<Verdict.HeldBack>()
                verdict.reason shouldContain "part deadly crashed i-2:1000ms,i-1:2000ms,i-0:3000ms"
                verdict.retryAfter shouldBe 9.seconds
            }
        }
    })

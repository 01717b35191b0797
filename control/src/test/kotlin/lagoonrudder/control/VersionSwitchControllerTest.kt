package lagoonrudder.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.model.FencingNumber
import lagoonrudder.model.FleetId
import lagoonrudder.model.FleetKind
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.OperatorObject
import lagoonrudder.model.Refusal
import lagoonrudder.model.TargetId
import lagoonrudder.model.VersionId
import lagoonrudder.model.objectSet
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val date = Instant.fromEpochMilliseconds(1_800_000_000_000)
private val objects =
    objectSet {
        model("m")
        listOf("m-1", "m-2").forEach { version(it, "m") }
    }

private fun versionOf(name: String): OperatorObject.Version = objects.versions.getValue(VersionId(name))

private fun fleet(
    version: String,
    floor: Double = 0.5,
) = OperatorObject.Fleet(FleetId("f"), FleetKind.ENGINE, VersionId(version), VersionId("m-1"), floor)

private fun state(
    version: String?,
    fencing: Long? = 5,
    incarnation: String = "i",
) = EngineState(IncarnationId(incarnation), version?.let(::VersionId), EngineRole.SERVE, fencing?.let(::FencingNumber), false, 0)

private fun targets(count: Int) = (0 until count).map { TargetId("t$it") }

/** Returns a controller that has found out that its engine checks fencing numbers. */
private fun switchOf(
    self: TargetId,
    order: List<TargetId>,
    engine: EngineState = state("m-1"),
    floor: Double = 0.5,
) = VersionSwitchController(self, Duration.ZERO).apply {
    configure(fleet("m-2", floor), versionOf("m-2"), order)
    onEngineState(engine)
    onOrderResult(next(false, 0, Duration.ZERO, date).shouldBeInstanceOf<SwitchStep.SendOrder>().order, OrderResult.Fenced)
    onEngineState(engine)
}

private fun VersionSwitchController.step(
    complete: Boolean = true,
    inFlight: Int = 0,
    now: Duration = 30.seconds,
) = next(complete, inFlight, now, date)

class VersionSwitchControllerTest :
    FunSpec({
        test("an engine is ordered to load only a complete version") {
            val switch = switchOf(TargetId("t0"), targets(1))
            switch.step(complete = false) shouldBe SwitchStep.FetchWeights
            switch
                .step()
                .shouldBeInstanceOf<SwitchStep.SendOrder>()
                .order
                .shouldBeInstanceOf<EngineOrder.LoadModel>()
                .version shouldBe
                VersionId("m-2")
        }

        test("in-flight requests end before the order is sent, and new requests are rejected meanwhile") {
            val switch = switchOf(TargetId("t0"), targets(1))
            switch.refusal() shouldBe null
            switch.step(inFlight = 2) shouldBe SwitchStep.Drain
            switch.refusal().shouldBeInstanceOf<Refusal.NotServing>()
        }

        test("the fencing number is above the clock and above the number that the engine reports") {
            val clock = date.toEpochMilliseconds()
            val behind = switchOf(TargetId("t0"), targets(1), state("m-1", fencing = clock + 50))
            behind
                .step()
                .shouldBeInstanceOf<SwitchStep.SendOrder>()
                .order.fencing.number shouldBeGreaterThan clock + 50
        }

        test("if the engine ignores fencing numbers, orders of a previous process must time out first") {
            val switch = VersionSwitchController(TargetId("t0"), 30.seconds)
            switch.configure(fleet("m-2"), versionOf("m-2"), targets(1))
            switch.onEngineState(state("m-1", fencing = null))
            switch.step() shouldBe SwitchStep.ReadEngine
            switch.fencing() shouldBe FencingKnowledge.Ignores
            switch.step(now = 31.seconds).shouldBeInstanceOf<SwitchStep.AwaitOrderTimeout>()
            switch.step(now = 41.seconds).shouldBeInstanceOf<SwitchStep.SendOrder>()
        }

        test("an engine that accepts a lower fencing number than it reports ignores fencing numbers") {
            val switch = VersionSwitchController(TargetId("t0"), Duration.ZERO)
            switch.configure(fleet("m-2"), versionOf("m-2"), targets(1))
            switch.onEngineState(state("m-1", fencing = 9))
            val probe = switch.step().shouldBeInstanceOf<SwitchStep.SendOrder>().order
            probe.fencing shouldBe FencingNumber(8)
            switch.onOrderResult(probe, OrderResult.Done)
            switch.fencing() shouldBe FencingKnowledge.Ignores
        }

        test("the first target switches first, and the others wait for it") {
            val order = targets(4)
            switchOf(order[0], order).step().shouldBeInstanceOf<SwitchStep.SendOrder>()
            switchOf(order[1], order).step() shouldBe SwitchStep.QueryTargets(listOf(order[0]))
            switchOf(order[3], order).step() shouldBe SwitchStep.QueryTargets(listOf(order[0], order[1]))
        }

        test("a version that fails on the first target is not loaded on the others") {
            val order = targets(4)
            val first = switchOf(order[0], order)
            repeat(3) {
                val given = first.step().shouldBeInstanceOf<SwitchStep.SendOrder>().order
                first.onOrderResult(given, OrderResult.Declined("can't run"))
                first.onEngineState(state("m-1"))
            }
            first.status() shouldBe SwitchStatus.FAILED
            val second = switchOf(order[1], order)
            second.onSwitchReport(order[0], VersionId("m-2"), first.status(), 30.seconds)
            second.step(now = 300.seconds) shouldBe SwitchStep.QueryTargets(listOf(order[0]))
            second.refusal() shouldBe null
        }

        test("an engine without a version loads immediately") {
            val order = targets(4)
            switchOf(order[3], order, state(null)).step().shouldBeInstanceOf<SwitchStep.SendOrder>()
        }

        test("in random switch sequences no more targets are unavailable at the same time than the floor permits") {
            for (seed in 1..20) {
                val random = Random(seed)
                val order = targets(random.nextInt(1, 30))
                val floor = random.nextDouble(0.0, 1.0)
                val maxUnavailable = ((1.0 - floor) * order.size).toInt().coerceAtLeast(1)
                val switches = order.associateWith { switchOf(it, order, floor = floor) }
                val loading = mutableMapOf<TargetId, EngineOrder>()
                repeat(2_000) {
                    val (target, switch) = switches.entries.random(random)
                    when (val step = switch.step()) {
                        is SwitchStep.QueryTargets ->
                            step.targets.forEach {
                                switch.onSwitchReport(
                                    it,
                                    VersionId("m-2"),
                                    switches.getValue(it).status(),
                                    30.seconds,
                                )
                            }
                        is SwitchStep.SendOrder -> {
                            loading[target] = step.order
                            loading.size shouldBeLessThanOrEqual maxUnavailable
                        }
                        else -> Unit
                    }
                    if (loading.isNotEmpty() && random.nextInt(3) == 0) {
                        val (done, given) = loading.entries.random(random)
                        loading.remove(done)
                        switches.getValue(done).onOrderResult(given, OrderResult.Done)
                        switches.getValue(done).onEngineState(state("m-2"))
                    }
                }
                switches.values.all { it.status() == SwitchStatus.SERVING } shouldBe true
            }
        }
    })

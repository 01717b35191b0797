package lagoonrudder.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.model.DomainId
import lagoonrudder.model.FleetId
import lagoonrudder.model.IncarnationId
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.AdminState
import lagoonrudder.model.TargetId
import lagoonrudder.model.VersionId
import lagoonrudder.model.objectSet
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private fun objects(
    westOut: Boolean = false,
    linkBytes: Long = 1_000_000,
): ObjectSet =
    objectSet {
        region("ost", origin = true)
        region("west")
        link("ost", "west", linkBytes)
        domain("ost")
        domain("west", service = if (westOut) AdminState.OUT else AdminState.IN)
        model("m")
        version("m-1", "m")
        engineFleet("workers", "m-1")
        listOf("a", "b").forEach { target("ost-$it", "workers", "ost") }
        listOf("a", "b").forEach { target("west-$it", "workers", "west") }
    }

private fun report(
    target: String,
    limit: Int = 4,
    inFlight: Int = 0,
    version: String = "m-1",
    accepting: Boolean = true,
) = TargetReport(TargetId(target), IncarnationId("i"), TargetLoad(limit, inFlight, 10_000), VersionId(version), accepting)

private fun need(bytes: Long = 1_000) = RoutingRequest(FleetId("workers"), null, 10, bytes, null, emptySet())

private fun routing(
    set: ObjectSet = objects(),
    policy: LoadBalancingPolicy = LoadBalancingPolicy.FreshRoom(),
) = RoutingController("entry-1", DomainId("ost"), policy, Random(3)).apply { configure(set, 1) }

private fun RoutingController.reportAll(
    vararg reports: TargetReport,
    now: Duration = Duration.ZERO,
) = reports.forEach { onTargetReport(it, now) }

private fun RoutingController.chosen(now: Duration = Duration.ZERO) = selectTarget(need(), now).shouldBeInstanceOf<RoutingDecision.Selected>().target.text

class RoutingControllerTest :
    FunSpec({
        test("a target gets no more than the room it reported") {
            val routing = routing()
            routing.reportAll(report("ost-a", limit = 2), report("ost-b", limit = 3))
            repeat(5) { routing.chosen().startsWith("ost") shouldBe true }
            routing.selectTarget(need(), Duration.ZERO) shouldBe RoutingDecision.NoCapacity
        }

        test("a target that holds other weights or does not accept is passed over") {
            val routing = routing()
            routing.reportAll(report("ost-a", version = "m-0"), report("ost-b"))
            repeat(4) { routing.chosen() shouldBe "ost-b" }
        }

        test("without a fresh report a target gets one request at a time") {
            val routing = routing()
            routing.reportAll(report("ost-a"), report("ost-b"))
            val later = 10.seconds
            repeat(2) { routing.chosen(later) }
            routing.selectTarget(need(), later) shouldBe RoutingDecision.NoCapacity
        }

        test("a target that fails three times in a row is set aside, then tried with one request") {
            val routing = routing()
            routing.reportAll(report("ost-a", limit = 0), report("ost-b"))
            repeat(3) {
                routing.chosen() shouldBe "ost-b"
                routing.onRequestFinished(TargetId("ost-b"), failed = true, now = Duration.ZERO)
            }
            routing.selectTarget(need(), Duration.ZERO) shouldBe RoutingDecision.NoCapacity
            routing.reportAll(report("ost-b"), now = 1.seconds)
            routing.chosen(1.seconds) shouldBe "ost-b"
            routing.selectTarget(need(), 1.seconds) shouldBe RoutingDecision.NoCapacity
        }

        test("a full failure domain spills to another within the budget of the link and half of the neighbour's room") {
            val routing = routing(objects(linkBytes = 10_000))
            routing.reportAll(
                report("ost-a", limit = 0),
                report("ost-b", limit = 0),
                report("west-a", limit = 8),
                report("west-b", limit = 8),
            )
            val spilled = generateSequence { routing.selectTarget(need(bytes = 1_000), Duration.ZERO) as? RoutingDecision.Selected }.toList()
            spilled.size shouldBe 8
        }

        test("nothing goes to a failure domain that is out of service") {
            val routing = routing(objects(westOut = true))
            routing.reportAll(report("ost-a", limit = 0), report("ost-b", limit = 0), report("west-a"), report("west-b"))
            routing.selectTarget(need(), Duration.ZERO) shouldBe RoutingDecision.NoCapacity
        }

        test("the owner of a key is the only candidate, and none when it is not linked") {
            val routing = routing()
            routing.selectTarget(need().copy(owner = TargetId("west-a")), Duration.ZERO) shouldBe RoutingDecision.NoTarget
            routing.reportAll(report("west-a", limit = 8))
            routing.selectTarget(need().copy(owner = TargetId("west-a")), Duration.ZERO) shouldBe
                RoutingDecision.Selected(TargetId("west-a"), DomainId("west"))
        }

        test("a known prefix draws a request unless the target is much fuller") {
            val routing = routing()
            val warm = need().copy(prefix = 42)
            routing.reportAll(report("ost-a", limit = 100), report("ost-b", limit = 100))
            val first = routing.selectTarget(warm, Duration.ZERO).shouldBeInstanceOf<RoutingDecision.Selected>().target
            repeat(10) { routing.selectTarget(warm, Duration.ZERO).shouldBeInstanceOf<RoutingDecision.Selected>().target shouldBe first }
            routing.onTargetReport(report(first.text, limit = 100, inFlight = 90), Duration.ZERO)
            routing.selectTarget(warm, Duration.ZERO).shouldBeInstanceOf<RoutingDecision.Selected>().target shouldNotBe first
        }
    })

package lagoonrudder.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.Instance
import lagoonrudder.model.TargetId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val ost = DomainId("ost")

private fun instance(
    number: Int,
    leaving: Boolean = false,
    target: String = "t$number",
) = Instance(DaemonId("d$number"), DaemonRole.TARGET, ost, TargetId(target), Address("127.0.0.1", 1_000 + number), leaving)

class MembershipControllerTest :
    FunSpec({
        test("suspicion hides a daemon for a while and a sign of life ends it") {
            val membership = MembershipController(DaemonId("self"))
            membership.replaceList(listOf(instance(1), instance(2)), 1)
            membership.suspect(DaemonId("d1"), Duration.ZERO)
            membership.liveDaemons(ost, 1.seconds) shouldContainExactlyInAnyOrder listOf(DaemonId("self"), DaemonId("d2"))
            membership.liveDaemons(ost, 4.seconds).size shouldBe 3
            membership.suspect(DaemonId("d2"), 4.seconds)
            membership.clearSuspicion(DaemonId("d2"))
            membership.liveDaemons(ost, 4.seconds).size shouldBe 3
        }

        test("an older list never displaces a newer one") {
            val membership = MembershipController(DaemonId("self"))
            membership.replaceList(listOf(instance(1)), 5) shouldBe true
            membership.replaceList(emptyList(), 4) shouldBe false
            membership.instances().size shouldBe 1
        }

        test("of two daemons for one target the one that isn't leaving counts") {
            val membership = MembershipController(DaemonId("self"))
            membership.replaceList(listOf(instance(1, leaving = true, target = "t"), instance(2, target = "t")), 1)
            membership.daemonOf(TargetId("t"))?.daemon shouldBe DaemonId("d2")
            membership.targetDaemons().getValue(TargetId("t")).daemon shouldBe DaemonId("d2")
        }

        test("random changes passed on by peers lead to the same list") {
            val random = Random(5)
            val source = MembershipController(DaemonId("source"))
            val follower = MembershipController(DaemonId("follower"))
            for (generation in 1L..200L) {
                source.replaceList((1..20).filter { random.nextBoolean() }.map { instance(it, leaving = random.nextBoolean()) }, generation)
                if (random.nextInt(4) == 0) source.changesSince(follower.generation())?.let { follower.apply(it) }
            }
            source.changesSince(follower.generation())?.let { follower.apply(it) }
            follower.instances().toSet() shouldBe source.instances().toSet()
            source.changesSince(follower.generation()) shouldBe null
        }
    })

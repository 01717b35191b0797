package lagoonrudder.model

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private fun ObjectSetBuilder.base() {
    region("ost", origin = true)
    domain("ost")
    customer("tirol")
    model("assistant")
    version("assistant-1", "assistant")
    engineFleet("workers", "assistant-1")
    target("worker-1", "workers", "ost")
    route("dossier", "/v1/dossier", "workers")
}

private fun findings(build: ObjectSetBuilder.() -> Unit): List<String> =
    checkObjects(objectSet { base().also { build() } }, "objects.ini")
        .fold({ found -> found.map { "${it.location.section}/${it.location.key}" } }, { emptyList() })

class ObjectCheckTest :
    FunSpec({
        test("a valid set has no findings") { findings { } shouldBe emptyList() }

        test("a dangling reference is reported with its section and key") {
            findings { domain("west", region = "nowhere") } shouldBe listOf("domain west/region")
            findings { target("worker-2", "nothing", "ost") } shouldBe listOf("target worker-2/fleet")
        }

        test("duplicate tokens of customers and duplicate paths of routes are reported") {
            findings { customer("wien", token = "token-tirol") } shouldContain "customer wien/token"
            findings { route("scoring", "/v1/dossier", "workers") } shouldContain "route scoring/path"
        }

        test("cycles of fallbacks and of bases are reported") {
            val cycles =
                findings {
                    route("one", "/one", "workers", fallback = "two")
                    route("two", "/two", "workers", fallback = "one")
                }
            cycles shouldBe listOf("route one/fallback", "route two/fallback")
            findings { version("loop", "assistant", base = "loop") } shouldBe listOf("version loop/base")
        }

        test("a route whose fleet has no targets is reported") {
            findings {
                plainFleet("ledger")
                route("fees", "/fees", "ledger", deadline = 2.seconds)
            } shouldBe listOf("route fees/fleet")
        }

        test("a version that exceeds the weight memory of a target is reported") {
            findings {
                version("large", "assistant", bytes = 100)
                engineFleet("large-workers", "large")
                target("small", "large-workers", "ost", weightBytes = 99)
                route("large", "/large", "large-workers")
            } shouldBe listOf("target small/weight-bytes")
        }

        test("the most specific route matches, and a path prefix matches only whole segments") {
            val objects =
                objectSet {
                    base()
                    route("fees", "/v1/dossier/fees", "workers")
                }
            objects.routeFor("/v1/dossier/fees/7")?.id shouldBe RouteId("fees")
            objects.routeFor("/v1/dossier/other")?.id shouldBe RouteId("dossier")
            objects.routeFor("/v1/dossiers") shouldBe null
        }

        test("applying the changes between two sets yields the other set") {
            val before = objectSet { base() }
            val after =
                objectSet {
                    base()
                    customer("wien")
                    domain("ost", service = AdminState.OUT)
                }
            before.plus(changesBetween(before, after)).digest shouldBe after.digest
            after.plus(changesBetween(after, before)).digest shouldBe before.digest
        }
    })

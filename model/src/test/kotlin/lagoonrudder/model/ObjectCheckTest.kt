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
        test("a whole set passes") { findings { } shouldBe emptyList() }

        test("a dangling reference is found by section and key") {
            findings { domain("west", region = "nowhere") } shouldBe listOf("domain west/region")
            findings { target("worker-2", "nothing", "ost") } shouldBe listOf("target worker-2/fleet")
        }

        test("two customers with one token and two routes with one path are found") {
            findings { customer("wien", token = "token-tirol") } shouldContain "customer wien/token"
            findings { route("scoring", "/v1/dossier", "workers") } shouldContain "route scoring/path"
        }

        test("fallbacks and bases that return to themselves are found") {
            val loops =
                findings {
                    route("one", "/one", "workers", fallback = "two")
                    route("two", "/two", "workers", fallback = "one")
                }
            loops shouldBe listOf("route one/fallback", "route two/fallback")
            findings { version("loop", "assistant", base = "loop") } shouldBe listOf("version loop/base")
        }

        test("a route whose fleet has no target is found") {
            findings {
                plainFleet("ledger")
                route("fees", "/fees", "ledger", deadline = 2.seconds)
            } shouldBe listOf("route fees/fleet")
        }

        test("a version that does not fit a target's memory is found") {
            findings {
                version("large", "assistant", bytes = 100)
                engineFleet("large-workers", "large")
                target("small", "large-workers", "ost", weightBytes = 99)
                route("large", "/large", "large-workers")
            } shouldBe listOf("target small/weight-bytes")
        }

        test("the most specific route serves a path, and no route serves a path that only begins alike") {
            val objects =
                objectSet {
                    base()
                    route("fees", "/v1/dossier/fees", "workers")
                }
            objects.routeFor("/v1/dossier/fees/7")?.id shouldBe RouteId("fees")
            objects.routeFor("/v1/dossier/other")?.id shouldBe RouteId("dossier")
            objects.routeFor("/v1/dossiers") shouldBe null
        }

        test("changes between two sets lead from one to the other") {
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

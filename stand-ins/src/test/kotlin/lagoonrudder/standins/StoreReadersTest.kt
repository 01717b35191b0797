/**
 * Guards against an old view of the store at daemons that could read it themselves: what operators change must be in force within two
 * seconds, whichever daemons the store answers, and the store must not be stormed meanwhile.
 */
package lagoonrudder.standins

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withTests
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.DomainId
import lagoonrudder.model.Revision
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import lagoonrudder.standins.virtual.StoreTreatment
import lagoonrudder.standins.virtual.VirtualStoreSite
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val BACK_END =
    BackEnd(TargetId("b"), ServiceId("service"), Address("10.9.0.1", 80), DomainId("domain-0"), 4, false, Duration.ZERO, 1, null)

class StoreReadersTest :
    FunSpec({
        val inForceLimit = 2.seconds
        val domainCounts = listOf(1, 3)

        fun site(domains: Int) = VirtualStoreSite(domains, daemonsPerDomain = 6).apply { advance(10.seconds) }

        /** Publishes [revision] and expects it to be in force in time at the daemons that the store answers. */
        fun VirtualStoreSite.expectInForce(revision: Revision) {
            val publishedAt = now
            publish(revision)
            advance(inForceLimit)
            for (daemon in daemons.filter { it.treatment == StoreTreatment.Answers }) {
                withClue("${daemon.peer.daemon.text} after a change at $publishedAt") {
                    daemon.inForceAt[revision].shouldNotBeNull() - publishedAt shouldBeLessThanOrEqualTo inForceLimit
                }
            }
        }

        // A reader that gets no response was believed for 3.7 s, and the daemons that relied on it used a withdrawn key meanwhile.
        context("a change is in force in time while the readers of all failure domains get no response") {
            withTests(domainCounts) { domains ->
                for (silentFor in listOf(0.seconds, 100.milliseconds, 400.milliseconds, 800.milliseconds, 1_200.milliseconds)) {
                    site(domains).use { site ->
                        site.readers().forEach { it.treatment = StoreTreatment.Silent }
                        site.advance(silentFor)
                        site.expectInForce(Revision(2))
                    }
                }
            }
        }

        context("a change is in force in time while one reader after the other gets no response") {
            withTests(domainCounts) { domains ->
                site(domains).use { site ->
                    repeat(4) { round ->
                        site.readers().forEach { it.treatment = StoreTreatment.Silent }
                        site.advance(300.milliseconds * round)
                        site.expectInForce(Revision(2L + round))
                    }
                }
            }
        }

        context("a change is in force in time while the store refuses the readers of all failure domains") {
            withTests(domainCounts) { domains ->
                site(domains).use { site ->
                    site.readers().forEach { it.treatment = StoreTreatment.Refuses }
                    site.expectInForce(Revision(2))
                }
            }
        }

        // A request that a daemon sends just before it hears of the leaving arrives a little later, and counts as well.
        context("a back end that leaves is known as leaving in time for the way of a last request") {
            val requestWay = 100.milliseconds
            withTests(nameFn = { "$it" }, listOf(StoreTreatment.Answers, StoreTreatment.Silent, StoreTreatment.Refuses)) { treatment ->
                for (domains in domainCounts) {
                    for (delay in listOf(0.seconds, 100.milliseconds, 400.milliseconds, 800.milliseconds, 1_200.milliseconds)) {
                        site(domains).use { site ->
                            site.register(BACK_END)
                            site.advance(2.seconds)
                            site.readers().forEach { it.treatment = treatment }
                            site.advance(delay)
                            site.register(BACK_END.copy(leaving = true))
                            site.advance(inForceLimit - requestWay)
                            for (daemon in site.daemons.filter { it.treatment == StoreTreatment.Answers }) {
                                withClue("${daemon.peer.daemon.text} of $domains failure domains, readers gone for $delay") {
                                    daemon.storeView.backEnd(BACK_END.id)?.leaving shouldBe true
                                }
                            }
                        }
                    }
                }
            }
        }

        context("a store that is away for all daemons is not stormed") {
            val secondsAway = 10
            // The store grants 2,000 calls a second to 800 daemons in 34 failure domains, 24 in each.
            val maxCallsPerDaemonAndSecond = 2.5
            withTests(nameFn = { "$it" }, listOf(StoreTreatment.Silent, StoreTreatment.Refuses, StoreTreatment.Slow(60))) { treatment ->
                VirtualStoreSite(domains = 2, daemonsPerDomain = 24).use { site ->
                    site.advance(10.seconds)
                    site.daemons.forEach { it.treatment = treatment }
                    val before = site.calls
                    site.advance(1.seconds * secondsAway)
                    val callsPerSecond = (site.calls - before).toDouble() / secondsAway
                    callsPerSecond shouldBeLessThanOrEqualTo maxCallsPerDaemonAndSecond * site.daemons.size
                }
            }
        }

        test("a daemon that the store answers again reads it within a second of its return") {
            site(domains = 1).use { site ->
                site.daemons.forEach { it.treatment = StoreTreatment.Silent }
                site.advance(8.seconds)
                site.daemons.forEach { it.treatment = StoreTreatment.Answers }
                site.expectInForce(Revision(2))
            }
        }
    })

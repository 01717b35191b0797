/**
 * Guards against two faults of removed registrations: a back end that is used after its removal was acknowledged, because a cut watch
 * passed for an outage, and one that is dropped although it only expired in an outage and comes back.
 */
package lagoonrudder.standins

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withTests
import io.kotest.matchers.shouldBe
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DomainId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import lagoonrudder.standins.virtual.StoreTreatment
import lagoonrudder.standins.virtual.VirtualStoreSite
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LEAVING = backEnd("leaving")
private val STAYING = backEnd("staying")

private fun backEnd(name: String) =
    BackEnd(TargetId(name), ServiceId("service"), Address("10.9.0.1", 80), DomainId("domain-0"), 4, false, Duration.ZERO, 1, null)

/** What the daemons see of the store before a removal; [isOutage] is set if it is away for so long that registrations expire. */
private enum class StoreTrouble(
    val isOutage: Boolean,
    val play: VirtualStoreSite.() -> Unit,
) {
    NONE(false, {}),
    CUT_WATCHES(false, { cutWatches() }),
    CUT_WATCHES_AGAIN_AND_AGAIN(
        false,
        {
            repeat(10) {
                cutWatches()
                advance(300.milliseconds)
            }
        },
    ),
    READERS_REFUSED(false, { during(1.seconds, readers().map { it.peer.daemon }.toSet(), StoreTreatment.Refuses) }),
    READERS_SILENT(false, { during(4.seconds, readers().map { it.peer.daemon }.toSet(), StoreTreatment.Silent) }),
    ALL_SILENT_FOR_A_SECOND(false, { during(1.seconds, null, StoreTreatment.Silent) }),
    ALL_SILENT(true, { during(4_500.milliseconds, null, StoreTreatment.Silent) }),
    ALL_REFUSED(true, { during(4_500.milliseconds, null, StoreTreatment.Refuses) }),
}

/** Lets the store treat [daemons], null for all, with [treatment] for [duration]. */
private fun VirtualStoreSite.during(
    duration: Duration,
    daemons: Set<DaemonId>?,
    treatment: StoreTreatment,
) {
    val treated = this.daemons.filter { daemons == null || it.peer.daemon in daemons }
    treated.forEach { it.treatment = treatment }
    advance(duration)
    treated.forEach { it.treatment = StoreTreatment.Answers }
}

class StoreOutagesTest :
    FunSpec({
        val removalLimit = 2.seconds

        fun site(domains: Int) =
            VirtualStoreSite(domains, daemonsPerDomain = 3).apply {
                register(LEAVING)
                register(STAYING)
                advance(10.seconds)
            }

        fun VirtualStoreSite.daemonsWithout(backEnd: BackEnd) = daemons.filter { it.storeView.backEnd(backEnd.id) == null }

        for (domains in listOf(1, 3)) {
            // A removal seen after a cut watch was held back for 2.5 s, and an order went to a back end that was gone.
            context("a removal that the store acknowledges while it answers is in force in time, $domains failure domains") {
                withTests(nameFn = { it.name }, StoreTrouble.entries.filter { !it.isOutage }) { trouble ->
                    site(domains).use { site ->
                        trouble.play(site)
                        site.advance(200.milliseconds)
                        site.remove(LEAVING)
                        site.advance(removalLimit)
                        withClue("daemons that still use the back end") {
                            site.daemonsWithout(LEAVING).size shouldBe site.daemons.size
                        }
                        site.daemonsWithout(STAYING).size shouldBe 0
                    }
                }
            }

            context("a registration that expired in an outage is kept until it is back, $domains failure domains") {
                withTests(nameFn = { it.name }, StoreTrouble.entries.filter { it.isOutage }) { trouble ->
                    for (renewedAfter in listOf(200.milliseconds, 1.seconds, 1_900.milliseconds)) {
                        site(domains).use { site ->
                            // The removal becomes visible with the first answer after the outage.
                            site.remove(STAYING)
                            trouble.play(site)
                            repeat(10) {
                                site.advance(renewedAfter / 10)
                                site.daemonsWithout(STAYING).size shouldBe 0
                            }
                            site.register(STAYING)
                            site.advance(5.seconds)
                            site.daemonsWithout(STAYING).size shouldBe 0
                        }
                    }
                }
            }

            test("a registration that is not back after an outage is gone within three seconds, $domains failure domains") {
                site(domains).use { site ->
                    site.remove(LEAVING)
                    StoreTrouble.ALL_SILENT.play(site)
                    // Three seconds after the outage daemons count as in touch again.
                    site.advance(3.seconds)
                    site.daemonsWithout(LEAVING).size shouldBe site.daemons.size
                }
            }
        }
    })

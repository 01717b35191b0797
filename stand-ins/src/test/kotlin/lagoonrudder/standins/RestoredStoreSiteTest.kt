/**
 * Guards against daemons that use what a restored store brings back, or lose what it lacks, while its reader, its follower or a daemon that
 * has just started is the one that hears of the restore first.
 */
package lagoonrudder.standins

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withTests
import io.kotest.matchers.shouldBe
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.DomainId
import lagoonrudder.model.ModelId
import lagoonrudder.model.Revision
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import lagoonrudder.standins.virtual.StoreTreatment
import lagoonrudder.standins.virtual.VirtualStoreDaemon
import lagoonrudder.standins.virtual.VirtualStoreSite
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val MODEL = ModelId("model")
private val DOMAIN = DomainId("domain-9")
private val GONE = backEnd("gone")
private val LEAVING = backEnd("leaving")
private val NEW = backEnd("new")

private fun backEnd(name: String) =
    BackEnd(TargetId(name), ServiceId("service"), Address("10.9.0.1", 80), DomainId("domain-0"), 4, false, Duration.ZERO, 1, null)

/** What happens to the daemons while the store is restored. */
private enum class Trouble(
    val play: VirtualStoreSite.() -> Unit,
) {
    NONE({}),
    READER_DIES({ stop(readers().first()) }),
    READERS_GET_NO_RESPONSE({ readers().forEach { it.treatment = StoreTreatment.Silent } }),
    ONLY_ONE_FOLLOWER_REACHES_THE_STORE({
        val follower = daemons.first { it !in readers() }
        daemons.filter { it !== follower }.forEach { it.treatment = StoreTreatment.Silent }
    }),
    A_DAEMON_STARTS({
        val started = daemons.first { it !in readers() }
        stop(started)
        start(started)
    }),
}

class RestoredStoreSiteTest :
    FunSpec({
        /** A store whose last changes are missing in the copy that it is restored from. */
        fun restoredSite(
            domains: Int,
            trouble: Trouble,
        ): VirtualStoreSite =
            VirtualStoreSite(domains, daemonsPerDomain = 2).apply {
                register(GONE, sequence = 3)
                register(LEAVING, sequence = 3)
                declare(MODEL, WeightNumber(1))
                advance(6.seconds)
                val copy = copy()
                register(LEAVING.copy(leaving = true), sequence = 4)
                remove(GONE)
                register(NEW, sequence = 0)
                declare(MODEL, WeightNumber(2))
                evacuate(DOMAIN)
                publish(Revision(2))
                advance(4.seconds)
                restore(copy)
                trouble.play(this)
            }

        /** Expects that nothing that was lost is forgotten here. */
        fun VirtualStoreSite.expectKept(daemon: VirtualStoreDaemon) =
            withClue("${daemon.peer.daemon.text} at $now") {
                val view = daemon.storeView
                view.serving?.revision shouldBe Revision(2)
                view.backEnd(GONE.id) shouldBe null
                view.backEnd(LEAVING.id)?.leaving shouldBe true
                view.evacuated shouldBe setOf(DOMAIN)
                view.versions.newest[MODEL] shouldBe WeightNumber(2)
            }

        for (domains in listOf(1, 2)) {
            context("what is written again in time is never lost, $domains failure domains") {
                withTests(nameFn = { it.name }, Trouble.entries) { trouble ->
                    restoredSite(domains, trouble).use { site ->
                        // A daemon that starts reads the copy, and learns the rest from the first exchanges.
                        if (trouble == Trouble.A_DAEMON_STARTS) site.advance(500.milliseconds)
                        val running = site.daemons.filter { it.isRunning }

                        fun watch(duration: Duration) =
                            repeat((duration / 50.milliseconds).toInt()) {
                                site.advance(50.milliseconds)
                                running.forEach { site.expectKept(it) }
                            }
                        watch(1.seconds)
                        site.register(LEAVING.copy(leaving = true), sequence = 5)
                        site.register(NEW, sequence = 1)
                        watch(1.seconds)
                        site.publish(Revision(2))
                        site.evacuate(DOMAIN)
                        site.declare(MODEL, WeightNumber(2))
                        watch(8.seconds)
                        running.forEach { it.storeView.backEnd(NEW.id) shouldBe NEW }
                        running.forEach { it.storeView.at.era.number shouldBe 1 }
                        site.register(GONE, sequence = 4)
                        site.advance(1.5.seconds)
                        running.forEach { it.storeView.backEnd(GONE.id) shouldBe GONE }
                    }
                }
            }

            context("what the operator does not write again stays, $domains failure domains") {
                withTests(nameFn = { it.name }, Trouble.entries) { trouble ->
                    restoredSite(domains, trouble).use { site ->
                        site.advance(8.seconds)
                        for (daemon in site.daemons.filter { it.isRunning }) {
                            withClue(daemon.peer.daemon.text) {
                                daemon.storeView.serving?.revision shouldBe Revision(2)
                                daemon.storeView.evacuated shouldBe setOf(DOMAIN)
                                daemon.storeView.backEnds.map { it.id } shouldBe listOf(LEAVING.id)
                                daemon.storeView.versions.newest[MODEL] shouldBe WeightNumber(2)
                            }
                        }
                    }
                }
            }
        }

        // A daemon asked for what a restored store lacks only right after it had seen the restore.
        test("a daemon that starts long after the restore learns the newest configuration, and passes it on when the others are gone") {
            restoredSite(2, Trouble.NONE).use { site ->
                site.advance(20.seconds)
                val (first, second) = site.daemons.filter { it !in site.readers() }
                val others = site.daemons - first - second
                listOf(first, second).forEach { site.stop(it) }
                site.advance(1.seconds)
                site.start(first)
                site.advance(1.seconds)
                first.storeView.serving?.revision shouldBe Revision(2)
                others.forEach { site.stop(it) }
                site.advance(10.seconds)
                site.start(second)
                site.advance(1.seconds)
                second.storeView.serving?.revision shouldBe Revision(2)
                site.publish(Revision(3))
                site.advance(2.seconds)
                listOf(first, second).forEach { it.storeView.serving?.revision shouldBe Revision(3) }
            }
        }

        test("a daemon that could not be reached during the restore returns to no older configuration") {
            restoredSite(2, Trouble.NONE).use { site ->
                val cut = site.daemons.first { it !in site.readers() }
                cut.isReachable = false
                cut.treatment = StoreTreatment.Silent
                site.advance(10.seconds)
                cut.isReachable = true
                cut.treatment = StoreTreatment.Answers
                repeat(200) {
                    site.advance(50.milliseconds)
                    site.daemons.forEach { it.storeView.serving?.revision shouldBe Revision(2) }
                }
                cut.storeView.at.era.number shouldBe 1
            }
        }
    })

/**
 * Guards against a removal that waits because a daemon has just started or resumed: at that daemon, and at those that learn of changes
 * from it. What peers know of the store decides, so registrations that expired in an outage are still kept until they are back.
 */
package lagoonrudder.standins

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withTests
import io.kotest.matchers.collections.shouldBeEmpty
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.DomainId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.TargetId
import lagoonrudder.standins.virtual.StoreTreatment
import lagoonrudder.standins.virtual.VirtualStoreDaemon
import lagoonrudder.standins.virtual.VirtualStoreSite
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LEAVING = List(5) { backEnd("leaving-$it") }
private val STAYING = backEnd("staying")

private fun backEnd(name: String) =
    BackEnd(TargetId(name), ServiceId("service"), Address("10.9.0.1", 80), DomainId("domain-0"), 4, false, Duration.ZERO, 1, null)

private const val DAEMONS_PER_DOMAIN = 3

/** What happens to one daemon, or to all of its failure domain, while the store answers everybody. */
private enum class ProcessTrouble(
    val play: VirtualStoreSite.(VirtualStoreDaemon) -> Unit,
) {
    START({ restart(it) }),
    RELOAD({ it.peers.seeds = emptyList() }),
    SHORT_PAUSE({ pauseAndResume(it, 1_030.milliseconds) }),
    LONG_PAUSE({ pauseAndResume(it, 4_030.milliseconds) }),
    ROLLING_STOP({ first ->
        for (daemon in daemons.filter { it.peer.domain == first.peer.domain }) {
            restart(daemon)
            advance(200.milliseconds)
        }
    }),
}

/** Which daemon of the first failure domain is in trouble. */
private enum class Rank {
    FIRST,
    LAST,
}

/** The store is away for everybody while a daemon starts; [headStart] is how much sooner than the others it reaches it again. */
private enum class OutageStart(
    val headStart: Duration?,
) {
    IN_THE_OUTAGE(Duration.ZERO),
    IN_THE_OUTAGE_AND_FIRST_TO_REACH_THE_STORE(400.milliseconds),
    AT_THE_RETURN_AND_FIRST_TO_REACH_THE_STORE(400.milliseconds),
    NONE(null),
}

private fun VirtualStoreSite.restart(daemon: VirtualStoreDaemon) {
    stop(daemon)
    advance(600.milliseconds)
    start(daemon)
}

private fun VirtualStoreSite.pauseAndResume(
    daemon: VirtualStoreDaemon,
    duration: Duration,
) {
    pause(daemon, duration)
    advance(duration)
}

private fun VirtualStoreSite.daemonsWith(backEnd: BackEnd) =
    daemons.filter { it.storeView.backEnd(backEnd.id) != null }.map { it.peer.daemon.text }

private fun VirtualStoreSite.daemonsWithout(backEnd: BackEnd) =
    daemons.filter { it.storeView.backEnd(backEnd.id) == null }.map { it.peer.daemon.text }

class StartedDaemonsTest :
    FunSpec({
        val removalLimit = 2.seconds

        fun site(
            domains: Int,
            daemonsPerDomain: Int = DAEMONS_PER_DOMAIN,
        ) = VirtualStoreSite(domains, daemonsPerDomain).apply {
            LEAVING.forEach { register(it) }
            register(STAYING)
            advance(10.seconds)
        }

        fun VirtualStoreSite.daemonOf(rank: Rank): VirtualStoreDaemon {
            val reader = readers().first()
            return when (rank) {
                Rank.FIRST -> reader
                Rank.LAST -> daemons.last { it.peer.domain == reader.peer.domain && it !== reader }
            }
        }

        for (domains in listOf(1, 3)) {
            for (rank in Rank.entries) {
                val place = "$domains failure domains, ranked ${rank.name.lowercase()}"

                // A daemon that had just started took its first contact for the end of an outage, and peers waited for it for 2.3 s.
                context("a removal is in force in time beside a daemon that starts or pauses, $place") {
                    withTests(nameFn = { it.name }, ProcessTrouble.entries) { trouble ->
                        for (delay in listOf(0.seconds, 50.milliseconds, 200.milliseconds, 600.milliseconds, 1_500.milliseconds)) {
                            site(domains).use { site ->
                                trouble.play(site, site.daemonOf(rank))
                                site.advance(delay)
                                // Removals in a row reach daemons that rely on a reader after their own last watch has ended.
                                val removedAt =
                                    LEAVING.associateWith { backEnd ->
                                        site.remove(backEnd)
                                        site.now.also { site.advance(100.milliseconds) }
                                    }
                                for ((backEnd, at) in removedAt) {
                                    site.advance(at + removalLimit - site.now)
                                    withClue("${backEnd.id.text} removed at $at, ${at - removedAt.values.first() + delay} after it") {
                                        site.daemonsWith(backEnd).shouldBeEmpty()
                                    }
                                }
                                site.daemonsWithout(STAYING).shouldBeEmpty()
                            }
                        }
                    }
                }

                context("a registration that expired in an outage is kept beside a daemon that starts, $place") {
                    withTests(nameFn = { it.name }, OutageStart.entries) { start ->
                        for (renewedAfter in listOf(200.milliseconds, 1.seconds, 1_900.milliseconds)) {
                            site(domains).use { site ->
                                val started = site.daemonOf(rank)
                                site.daemons.forEach { it.treatment = StoreTreatment.Silent }
                                site.advance(1.seconds)
                                when (start) {
                                    OutageStart.IN_THE_OUTAGE,
                                    OutageStart.IN_THE_OUTAGE_AND_FIRST_TO_REACH_THE_STORE,
                                    -> site.restart(started)
                                    OutageStart.AT_THE_RETURN_AND_FIRST_TO_REACH_THE_STORE -> site.stop(started)
                                    OutageStart.NONE -> Unit
                                }
                                site.remove(STAYING)
                                site.advance(3_500.milliseconds)
                                if (!started.isRunning) site.start(started)
                                started.treatment = StoreTreatment.Answers
                                val headStart = start.headStart ?: Duration.ZERO
                                site.advance(headStart)
                                site.daemons.forEach { it.treatment = StoreTreatment.Answers }
                                val running = (site.daemons - started).map { it.peer.daemon.text }
                                repeat(10) {
                                    site.advance(((renewedAfter - headStart) / 10).coerceAtLeast(Duration.ZERO))
                                    withClue("${site.now}, renewed $renewedAfter after the return") {
                                        site.daemonsWithout(STAYING).filter { it in running }.shouldBeEmpty()
                                    }
                                }
                                site.register(STAYING)
                                repeat(10) {
                                    site.advance(500.milliseconds)
                                    site.daemonsWithout(STAYING).filter { it in running }.shouldBeEmpty()
                                }
                                site.daemonsWithout(STAYING).shouldBeEmpty()
                            }
                        }
                    }
                }
            }
        }

        // A registration may run out shortly after the return, and such a daemon knows of no other's contact.
        context("a registration that expires after the first contact of daemons that all start at once is kept until it is back") {
            withTests(nameFn = { "$it daemons" }, listOf(1, 3)) { daemonsPerDomain ->
                site(domains = 1, daemonsPerDomain).use { site ->
                    site.daemons.forEach { site.stop(it) }
                    site.advance(4.seconds)
                    site.daemons.forEach { site.start(it) }
                    site.advance(100.milliseconds)
                    site.remove(STAYING)
                    repeat(9) {
                        site.advance(200.milliseconds)
                        site.daemonsWithout(STAYING).shouldBeEmpty()
                    }
                    site.register(STAYING)
                    repeat(10) {
                        site.advance(500.milliseconds)
                        site.daemonsWithout(STAYING).shouldBeEmpty()
                    }
                }
            }
        }
    })

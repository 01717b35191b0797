/**
 * Guards against requests that begin on an older version after its limit because an entry daemon counts the limit from the time at which
 * it heard of the newer one, or by a clock that stood still; and against an older version that a daemon ends long before its limit.
 */
package lagoonrudder.standins

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withTests
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber
import lagoonrudder.standins.virtual.StoreTreatment
import lagoonrudder.standins.virtual.VirtualStoreDaemon
import lagoonrudder.standins.virtual.VirtualStoreSite
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val MODEL = ModelId("model")
private val OLDER = WeightNumber(1)
private val NEWER = WeightNumber(2)
private val NEWEST = WeightNumber(3)

/** How long requests may begin on the older version after the newer one was acknowledged. */
private val VERSION_LIMIT = 8.seconds

/** The rules bind a daemon that has been undisturbed for this long. */
private val CONTACT_TIME = 3.seconds

/** How much of its limit a version may lose at a daemon that can't know better: a watch that gets no answer, and its replacement. */
private val ALLOWED_LOSS = 2_500.milliseconds

/** What befalls the first [VirtualStoreSite.readers] around a declaration, which the test makes in between. */
private enum class VersionTrouble(
    val before: VirtualStoreSite.(VirtualStoreDaemon) -> Unit = {},
    val after: VirtualStoreSite.(VirtualStoreDaemon) -> Unit = {},
) {
    NONE,
    READER_STOPS(before = { stop(it) }),
    READERS_GET_NO_ANSWER(before = { readers().forEach { reader -> reader.treatment = StoreTreatment.Silent } }),
    STORE_IS_SLOW(before = { daemons.forEach { it.treatment = StoreTreatment.Slow(200) } }),
    FROZEN_BEFORE(before = { pause(it, 4.seconds) }),
    FROZEN_AFTER(after = { pause(it, 4.seconds) }),
    SUSPENDED_BEFORE(before = { suspendMachine(it, 4.seconds) }),
    SUSPENDED_AFTER(after = { suspendMachine(it, 4.seconds) }),
    ALL_SUSPENDED_AFTER(after = { daemons.forEach { daemon -> suspendMachine(daemon, 4.seconds) } }),
    RESTARTED_AFTER(after = {
        stop(it)
        advance(500.milliseconds)
        start(it)
    }),
    OUT_OF_REACH(before = { setReachable(it, false) }, after = {
        advance(4.seconds)
        setReachable(it, true)
    }),
    OUT_OF_REACH_OF_TWO_VERSIONS(before = { setReachable(it, false) }, after = {
        advance(2.seconds)
        declare(MODEL, NEWEST)
        advance(2.seconds)
        setReachable(it, true)
    }),
    WATCHES_CUT(before = { cutWatches() }),
    ALL_RESTARTED_AFTER(after = {
        daemons.forEach { daemon -> stop(daemon) }
        advance(500.milliseconds)
        daemons.forEach { daemon -> start(daemon) }
    }),
}

private fun VirtualStoreSite.restartAll() {
    daemons.forEach { stop(it) }
    daemons.forEach { start(it) }
}

private fun VirtualStoreSite.isBinding(daemon: VirtualStoreDaemon): Boolean {
    val binding = daemon.storeView.versions.bindingAt(MODEL, clockOf(daemon)) ?: return false
    return binding.number >= NEWER
}

/** Returns how long after now each daemon still lets requests go to the older version. */
private fun VirtualStoreSite.lateness(): Map<String, Duration> {
    val from = now
    val late = mutableMapOf<String, Duration>()
    while (now - from < VERSION_LIMIT) {
        val daemons = daemons.filter { it.isRunning && !isBinding(it) }
        if (daemons.isEmpty()) break
        advance(1.milliseconds)
        for (daemon in daemons) late[daemon.peer.daemon.text] = now - from
    }
    return late
}

private fun VirtualStoreSite.ageAt(daemon: VirtualStoreDaemon): Duration? =
    daemon.storeView.versions
        .declaration(MODEL, NEWER)
        ?.let { clockOf(daemon) - it.countsFrom }

class VersionAgeTest :
    FunSpec({
        for (domains in listOf(1, 3)) {
            // Each daemon counted the limit from the moment at which it had heard of the version itself, by a clock that may stand still.
            context("a newer version binds every daemon once its limit after the acknowledgement is over, $domains failure domains") {
                withTests(nameFn = { it.name }, VersionTrouble.entries) { trouble ->
                    for (delay in listOf(20.milliseconds, 300.milliseconds, 700.milliseconds)) {
                        VirtualStoreSite(domains, daemonsPerDomain = 3).use { site ->
                            site.declare(MODEL, OLDER)
                            site.advance(10.seconds)
                            val troubled = site.readers().first()
                            trouble.before(site, troubled)
                            site.advance(delay)
                            site.declare(MODEL, NEWER)
                            val declaredAt = site.now
                            site.advance(delay)
                            trouble.after(site, troubled)
                            site.advance(declaredAt + VERSION_LIMIT - ALLOWED_LOSS - site.now)
                            if (trouble != VersionTrouble.ALL_RESTARTED_AFTER) {
                                withClue("$delay around the declaration, too early at") {
                                    val others = site.daemons.filter { it !== troubled }
                                    others.filter { site.isBinding(it) }.map { it.peer.daemon.text }.shouldBeEmpty()
                                }
                            }
                            site.advance(maxOf(declaredAt + VERSION_LIMIT, site.now + CONTACT_TIME) - site.now)
                            withClue("$delay around the declaration, late by") { site.lateness().shouldBeEmpty() }
                        }
                    }
                }
            }

            context("a daemon that starts late moves no limit at the others, $domains failure domains") {
                withTests(nameFn = { "started after $it" }, listOf(6_500.milliseconds, 7.seconds, 7_500.milliseconds, 8_500.milliseconds)) {
                    VirtualStoreSite(domains, daemonsPerDomain = 3).use { site ->
                        site.declare(MODEL, OLDER)
                        site.advance(10.seconds)
                        val stopped = site.readers().first()
                        site.stop(stopped)
                        site.advance(20.milliseconds)
                        site.declare(MODEL, NEWER)
                        val declaredAt = site.now
                        site.advance(it)
                        site.start(stopped)
                        site.advance(1.seconds)
                        val age = site.now - declaredAt
                        val younger = site.daemons.filter { each -> each !== stopped && (site.ageAt(each) ?: Duration.ZERO) < age }
                        withClue("true age $age") { younger.map { each -> each.peer.daemon.text to site.ageAt(each) }.shouldBeEmpty() }
                    }
                }
            }
            // Entry daemons that had lost power let requests begin on a version that two newer ones had replaced.
            context("entry daemons that all start anew while target daemons keep running know what binds, $domains failure domains") {
                withTests(nameFn = { "store away for $it" }, listOf(300.milliseconds, 1.seconds, 2_400.milliseconds)) {
                    VirtualStoreSite(domains, daemonsPerDomain = 3, targetsPerDomain = 2).use { site ->
                        site.declare(MODEL, OLDER)
                        site.advance(10.seconds)
                        site.declare(MODEL, NEWER)
                        val declaredAt = site.now
                        site.advance(VERSION_LIMIT - 1.seconds)
                        site.declare(MODEL, NEWEST)
                        site.advance(2.seconds)
                        site.daemons.forEach { each -> each.treatment = StoreTreatment.Refuses }
                        site.restartAll()
                        val startedAt = site.now
                        site.advance(it)
                        site.daemons.forEach { each -> each.treatment = StoreTreatment.Answers }
                        // The slowest of them calls the store again after 2 s; target daemons tell theirs within 400 ms more.
                        site.advance(startedAt + CONTACT_TIME - site.now)
                        withClue("${site.now - declaredAt} after the declaration, late by") { site.lateness().shouldBeEmpty() }
                        val newest = site.daemons.mapNotNull { each -> each.storeView.versions.declaration(MODEL, NEWEST) }
                        withClue("told by target daemons") { newest.all { each -> each.acknowledged.latest < startedAt } shouldBe true }
                    }
                }
            }
            context("a version that daemons hear of late after their start binds them from then on, $domains failure domains") {
                withTests(nameFn = { "heard after $it" }, listOf(1_500.milliseconds, 2.seconds, 2_500.milliseconds)) {
                    VirtualStoreSite(domains, daemonsPerDomain = 3).use { site ->
                        site.declare(MODEL, OLDER)
                        site.advance(10.seconds)
                        site.declare(MODEL, NEWER)
                        site.advance(VERSION_LIMIT)
                        site.daemons.forEach { each -> each.treatment = StoreTreatment.Silent }
                        site.restartAll()
                        val startedAt = site.now
                        site.advance(it)
                        site.daemons.forEach { each -> each.treatment = StoreTreatment.Answers }
                        site.advance(startedAt + CONTACT_TIME - site.now)
                        val heard = site.daemons.filter { each -> each.storeView.versions.declaration(MODEL, NEWER) != null }
                        val late = heard.filter { each -> !site.isBinding(each) }.map { each -> each.peer.daemon.text }
                        withClue("not bound") { late.shouldBeEmpty() }
                        site.advance(1.seconds)
                        withClue("late by") { site.lateness().shouldBeEmpty() }
                    }
                }
            }
            context("a declaration after the store was away leaves its rollout time, $domains failure domains") {
                withTests(nameFn = { "away for $it" }, listOf(3.seconds, 5.seconds, 10.seconds)) {
                    VirtualStoreSite(domains, daemonsPerDomain = 3).use { site ->
                        site.declare(MODEL, OLDER)
                        site.advance(10.seconds)
                        site.daemons.forEach { each -> each.treatment = StoreTreatment.Refuses }
                        site.advance(it)
                        site.daemons.forEach { each -> each.treatment = StoreTreatment.Answers }
                        site.declare(MODEL, NEWER)
                        val declaredAt = site.now
                        site.advance(VERSION_LIMIT - 2_500.milliseconds)
                        val age = site.now - declaredAt
                        val older = site.daemons.filter { each -> (site.ageAt(each) ?: Duration.ZERO) >= VERSION_LIMIT }
                        withClue("true age $age") { older.map { each -> each.peer.daemon.text to site.ageAt(each) }.shouldBeEmpty() }
                    }
                }
            }
        }
    })

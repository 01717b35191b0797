/**
 * Guards against bounds of an age that hold at the daemon which assumed them, but not at those that it tells, and against an older version
 * that all daemons end at once because the store was away before the declaration.
 */
package lagoonrudder.standins

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withTests
import io.kotest.matchers.collections.shouldBeEmpty
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
private val VERSION_LIMIT = 8.seconds

private fun VirtualStoreSite.ageAt(daemon: VirtualStoreDaemon): Duration? =
    daemon.storeView.versions
        .declaration(MODEL, NEWER)
        ?.let { clockOf(daemon) - it.acknowledged.earliest }

class VersionAgeReviewTest :
    FunSpec({
        for (domains in listOf(1, 3)) {
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

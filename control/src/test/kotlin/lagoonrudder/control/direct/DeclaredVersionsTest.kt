/**
 * Guards against a version whose limit is counted from the time of hearing, by a clock that stood still, or from what a peer said before
 * this clock missed a pause.
 */
package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import lagoonrudder.model.EventTime
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DeclaredVersionsTest :
    FunSpec({
        val two = WeightNumber(2)

        fun DeclaredVersions.hear(
            number: Long,
            now: Duration,
        ) = onHeard(StoreRecord.VersionDeclaration(MODEL, WeightNumber(number)), now)

        /** A process that was up to date at 10 s and heard of version [number] at [now]. */
        fun heard(
            now: Duration,
            number: Long = 2,
        ) = DeclaredVersions(VERSION_LIMIT).apply {
            onUpToDate(10.seconds)
            hear(number, now)
        }

        fun DeclaredVersions.acknowledged(number: WeightNumber = two) = declaration(MODEL, number).shouldNotBeNull().acknowledged

        fun told(
            earliest: Duration,
            latest: Duration,
            number: Long = 2,
        ) = listOf(VersionAcknowledgement(MODEL, WeightNumber(number), EventTime(earliest, latest)))

        test("a version that is heard of late may have been declared since the last answer of the store") {
            val versions = heard(13.seconds)
            versions.acknowledged() shouldBe EventTime(10.seconds, 13.seconds)
            versions.bindingAt(MODEL, 10.seconds + VERSION_LIMIT)?.number shouldBe two
            versions.bindingAt(MODEL, 9_999.milliseconds + VERSION_LIMIT).shouldBeNull()
        }

        test("a version of unknown age leaves a part of its limit") {
            val versions = DeclaredVersions(VERSION_LIMIT)
            versions.hear(2, 13.seconds)
            versions.declaration(MODEL, two).shouldNotBeNull().countsFrom shouldBe 7.seconds
        }

        // Peers took the assumption for knowledge, and counted the limit of a version from too late.
        test("an age that is only assumed is told to nobody, and gives way to what a peer knows") {
            val others = DeclaredVersions(VERSION_LIMIT)
            others.onUpToDate(9.9.seconds)
            others.hear(2, 11.2.seconds)
            val started = DeclaredVersions(VERSION_LIMIT)
            started.hear(2, 17.seconds)
            others.onTold(started.toTell(17.seconds), askedAt = 17.seconds)
            others.acknowledged() shouldBe EventTime(9.9.seconds, 11.2.seconds)
            started.onTold(others.toTell(17.1.seconds), askedAt = 17.1.seconds)
            started.declaration(MODEL, two).shouldNotBeNull().countsFrom shouldBe 11.seconds
            started.onTold(told(9.9.seconds, 10.5.seconds), askedAt = 17.2.seconds)
            started.declaration(MODEL, two).shouldNotBeNull().countsFrom shouldBe 9.9.seconds
        }

        // All daemons ended the older version at once when a version was declared at the store's return from an outage.
        test("the limit of a version that was declared after an outage of the store counts from its return at the earliest") {
            var returnedAt: Duration? = null
            val versions = DeclaredVersions(VERSION_LIMIT) { returnedAt }
            versions.onUpToDate(10.seconds)
            returnedAt = 20.seconds
            versions.hear(2, 20.5.seconds)
            versions.declaration(MODEL, two).shouldNotBeNull().countsFrom shouldBe 20.seconds
            returnedAt = null
            versions.declaration(MODEL, two).shouldNotBeNull().countsFrom shouldBe 14.5.seconds
        }

        test("what peers know narrows the time of a declaration") {
            val versions = heard(13.seconds)
            versions.onTold(told(10.5.seconds, 12.seconds), askedAt = 13.seconds)
            versions.onTold(told(9.seconds, 11.seconds), askedAt = 13.seconds)
            versions.onTold(told(12.seconds, 13.seconds, number = 3), askedAt = 13.seconds)
            versions.acknowledged() shouldBe EventTime(10.5.seconds, 11.seconds)
            versions.newest[MODEL] shouldBe two
        }

        test("a pause that the clock has not counted makes a version older, until a peer is asked after it") {
            val versions = heard(10.seconds)
            versions.onPaused(uncounted = 5.seconds, 12.seconds)
            versions.acknowledged() shouldBe EventTime(5.seconds, 10.seconds)
            versions.onTold(told(10.seconds, 10.seconds), askedAt = 11.9.seconds)
            versions.acknowledged() shouldBe EventTime(5.seconds, 10.seconds)
            versions.onTold(told(6.seconds, 6.2.seconds), askedAt = 12.1.seconds)
            versions.acknowledged() shouldBe EventTime(6.seconds, 6.2.seconds)
        }

        test("a version that was replaced before it was heard of binds from its own time once a peer tells of it") {
            val versions = heard(14.seconds, number = 3)
            versions.onTold(told(11.seconds, 11.1.seconds) + told(13.seconds, 13.1.seconds, number = 3), askedAt = 14.seconds)
            versions.bindingAt(MODEL, 12.seconds + VERSION_LIMIT)?.number shouldBe two
            versions.oldestUnmet(MODEL, WeightNumber(1))?.number shouldBe two
            versions.acknowledged(WeightNumber(3)) shouldBe EventTime(13.seconds, 13.1.seconds)
        }

        test("statements that miss each other by the drift of clocks keep the earlier time") {
            val versions = heard(10.seconds)
            versions.onTold(told(10.1.seconds, 10.2.seconds), askedAt = 11.seconds)
            versions.acknowledged() shouldBe EventTime(10.seconds, 10.seconds)
        }

        // A daemon that had heard of a version 3.5 s after its start let requests begin on an older one when the limit bound it already.
        test("a version of unknown age binds a daemon no later than the limit does after its start") {
            fun started(heardAt: Duration) = DeclaredVersions(VERSION_LIMIT, bindingFrom = 13.seconds).apply { hear(3, heardAt) }

            fun DeclaredVersions.limitAt(number: Long) = declaration(MODEL, WeightNumber(number)).shouldNotBeNull().limitAt
            started(heardAt = 10.5.seconds).limitAt(3) shouldBe 12.5.seconds
            started(heardAt = 12.5.seconds).limitAt(3) shouldBe 13.seconds
            started(heardAt = 14.seconds).limitAt(3) shouldBe 13.seconds
            val toldLater = started(heardAt = 12.5.seconds)
            toldLater.onTold(told(-Duration.INFINITE, 12.5.seconds), askedAt = 14.seconds)
            toldLater.limitAt(2) shouldBe 13.seconds
            // One that was cut off is bound again some time after that, which is not known here.
            val cutOff = DeclaredVersions(VERSION_LIMIT, bindingFrom = 13.seconds)
            cutOff.onUpToDate(15.seconds)
            cutOff.hear(3, 40.seconds)
            cutOff.limitAt(3) shouldBe 42.seconds
        }

        test("peers are told of the versions whose limits still run, and of the newest one that binds") {
            val versions = heard(10.seconds)
            versions.onUpToDate(15.seconds)
            versions.hear(3, 15.seconds)
            versions.toTell(16.seconds).map { it.number } shouldBe listOf(two, WeightNumber(3))
            versions.toTell(19.seconds).map { it.number } shouldBe listOf(two, WeightNumber(3))
            versions.toTell(24.seconds).map { it.number } shouldBe listOf(WeightNumber(3))
        }
    })

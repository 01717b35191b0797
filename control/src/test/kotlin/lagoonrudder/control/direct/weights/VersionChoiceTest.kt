/**
 * Guards against links that carry a version on which no request may begin any more. The times are those of a day on which version 2 was
 * declared at 18.0 s and version 3 at 21.0 s, and the origin was away from 20.5 to 26.5 s.
 */
package lagoonrudder.control.direct.weights

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import lagoonrudder.control.direct.DeclaredVersions
import lagoonrudder.control.direct.MODEL
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val CHUNK_BYTES = 32_768
private const val CHUNKS = 64
private const val COPY_BYTES = 1L * CHUNKS * CHUNK_BYTES
private const val ORIGIN_RATE = 742_500.0
private val ONE = WeightNumber(1)
private val TWO = WeightNumber(2)
private val THREE = WeightNumber(3)
private val ORIGIN_AWAY = 20.5.seconds..26.5.seconds

private fun declared(times: List<Duration>) =
    DeclaredVersions(10.3.seconds).apply {
        times.forEachIndexed { index, time ->
            onUpToDate(time)
            onHeard(StoreRecord.VersionDeclaration(MODEL, WeightNumber(index + 2L)), time)
        }
    }

private fun supply(
    missing: Map<WeightNumber, Int> = emptyMap(),
    rate: Double? = ORIGIN_RATE,
    held: WeightNumber? = ONE,
    refused: Set<WeightNumber> = emptySet(),
) = VersionSupply(held, missing.mapValues { 1L * it.value * CHUNK_BYTES }, COPY_BYTES, rate, refused = refused)

class VersionChoiceTest :
    FunSpec({
        val versions = declared(listOf(18.seconds, 21.seconds))

        fun decide(
            at: Duration,
            supply: VersionSupply,
        ) = VersionChoice.of(MODEL, versions, supply, at).decision

        test("while one version is declared it is fetched, at any rate and however late") {
            val one = declared(listOf(18.seconds))
            for (rate in listOf(null, 1.0, ORIGIN_RATE)) {
                VersionChoice.of(MODEL, one, supply(rate = rate), 40.seconds).decision shouldBe VersionDecision.Fetch(TWO)
            }
            VersionChoice.of(MODEL, one, supply(held = TWO), 40.seconds).decision shouldBe VersionDecision.Nothing
            VersionChoice.of(MODEL, DeclaredVersions(10.seconds), supply(), 40.seconds).isWorthFetching(ONE) shouldBe true
        }

        // Target machines held 90 in 100 of version 2 and went on with it until after it had stopped counting.
        test("an older version is completed only if requests can begin on it for a second before it stops counting") {
            decide(26.5.seconds, supply(mapOf(TWO to 6))) shouldBe VersionDecision.FinishFirst(TWO)
            decide(29.73.seconds, supply(mapOf(TWO to 6))) shouldBe VersionDecision.FinishFirst(TWO)
            decide(29.75.seconds, supply(mapOf(TWO to 6))) shouldBe VersionDecision.Fetch(THREE)
            decide(26.5.seconds, supply(mapOf(TWO to 64))) shouldBe VersionDecision.Fetch(THREE)
        }

        test("an older version gives way if the newest can serve before the held one stops counting") {
            decide(21.seconds, supply(mapOf(TWO to 6))) shouldBe VersionDecision.Fetch(THREE)
            decide(25.1.seconds, supply(mapOf(TWO to 6))) shouldBe VersionDecision.Fetch(THREE)
            decide(25.3.seconds, supply(mapOf(TWO to 6))) shouldBe VersionDecision.FinishFirst(TWO)
        }

        test("an older version gives way if the newest would serve hardly later, or if it is refused") {
            decide(27.seconds, supply(mapOf(TWO to 6, THREE to 20))) shouldBe VersionDecision.Fetch(THREE)
            decide(27.seconds, supply(mapOf(TWO to 6), refused = setOf(TWO))) shouldBe VersionDecision.Fetch(THREE)
        }

        // A restarted daemon began to fetch version 2 four seconds after it had stopped counting.
        test("without an observed rate the newest version is chosen, unless an older one is complete and still counts") {
            decide(28.seconds, supply(mapOf(TWO to 1), rate = null)) shouldBe VersionDecision.Fetch(THREE)
            decide(30.9.seconds, supply(mapOf(TWO to 0), rate = null)) shouldBe VersionDecision.FinishFirst(TWO)
            decide(31.1.seconds, supply(mapOf(TWO to 0), rate = null)) shouldBe VersionDecision.Fetch(THREE)
            decide(35.5.seconds, supply()) shouldBe VersionDecision.Fetch(THREE)
        }

        test("a daemon that has the newest version fetches nothing, and chunks of older versions are not worth fetching") {
            val choice = VersionChoice.of(MODEL, versions, supply(mapOf(TWO to 6, THREE to 0)), 27.seconds)
            choice.decision shouldBe VersionDecision.Nothing
            listOf(ONE, TWO, THREE, WeightNumber(4)).map { choice.isWorthFetching(it) } shouldBe listOf(false, false, true, true)
        }

        /** Replays the origin's link, which delivers a chunk every 44 ms; returns when each version was complete, and all chunks sent. */
        fun replay(staged: Int): Pair<Map<WeightNumber, Duration>, Int> {
            val rates = TransferRateObserver()
            val missing = mutableMapOf(TWO to CHUNKS, THREE to CHUNKS)
            val complete = mutableMapOf<WeightNumber, Duration>()
            var sent = 0
            var now = 18.seconds
            val chunkTime = (CHUNK_BYTES / ORIGIN_RATE).seconds
            while (now < 40.seconds && THREE !in complete) {
                val isAway = now in ORIGIN_AWAY
                val known = if (now < 21.seconds) declared(listOf(18.seconds)) else versions
                val choice = VersionChoice.of(MODEL, known, supply(missing, rates.rate(now)), now)
                val number =
                    when (val decision = choice.decision) {
                        is VersionDecision.Fetch -> decision.number
                        is VersionDecision.FinishFirst -> decision.number
                        VersionDecision.Nothing -> null
                    }
                val isPaused = number == TWO && now < 20.5.seconds && missing.getValue(TWO) <= CHUNKS - staged
                if (isAway) rates.onFailed(now)
                if (number != null && !isAway && !isPaused && missing.getValue(number) > 0) {
                    rates.onTransferred(CHUNK_BYTES, now, now + chunkTime)
                    missing[number] = missing.getValue(number) - 1
                    sent++
                    if (missing.getValue(number) == 0) complete[number] = now + chunkTime
                }
                // A complete version is ordered and held from then on.
                if (complete[TWO] != null) missing -= TWO
                now += chunkTime
            }
            return complete to sent
        }

        test("after the return of the origin its link carries the newest version, and at most the rest of the older one before") {
            val (complete, sent) = replay(staged = 58)
            (complete.getValue(TWO) < 27.seconds) shouldBe true
            (complete.getValue(THREE) < 30.seconds) shouldBe true
            sent shouldBeInRange 128..130
            val (shortOfOne, all) = replay(staged = 10)
            shortOfOne[TWO].shouldBeNull()
            (shortOfOne.getValue(THREE) < 29.5.seconds) shouldBe true
            all shouldBeInRange 74..75
        }
    })

class TransferRateObserverTest :
    FunSpec({
        test("the rate counts concurrent fetches once and leaves out idle time") {
            val rates = TransferRateObserver()
            rates.rate(1.seconds).shouldBeNull()
            repeat(2) { rates.onTransferred(50_000, 1.seconds, 1.2.seconds) }
            rates.onTransferred(100_000, 9.seconds, 9.2.seconds)
            rates.rate(20.seconds).shouldNotBeNull() shouldBe (500_000.0 plusOrMinus 1.0)
        }

        // A rate from before an outage promised a version that could not be fetched.
        test("there is no rate while fetches bring nothing, and a single failure among others does not count") {
            val rates = TransferRateObserver()
            rates.onTransferred(50_000, 1.seconds, 2.seconds)
            rates.onFailed(2.1.seconds)
            rates.rate(2.5.seconds).shouldNotBeNull()
            rates.onFailed(3.seconds)
            rates.rate(3.1.seconds).shouldBeNull()
            rates.onTransferred(50_000, 4.seconds, 5.seconds)
            rates.rate(5.seconds + 10.milliseconds).shouldNotBeNull()
        }
    })

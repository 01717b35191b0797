package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import lagoonrudder.model.EventTime
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request on an old version must not go without its line in the log, and one on an allowed version must get none. */
class KnownVersionsTest :
    FunSpec({
        val declarations =
            listOf(2L to 10.seconds, 3L to 13.seconds).map { (number, since) ->
                DeclaredWeights(MODEL, WeightNumber(number), EventTime(since, since), since, since + VERSION_LIMIT)
            }
        val known = KnownVersions(14.seconds, WeightNumber(2), 1.seconds, declarations)

        test("a version is violated once it is older than the limit, and not at the limit itself") {
            known.violated(WeightNumber(1), 18.seconds).shouldBeNull()
            known.violated(WeightNumber(1), 18_001.milliseconds) shouldBe declarations[0]
        }

        test("each version counts from its own time, whatever version the back end was believed to hold") {
            known.violated(WeightNumber(2), 20.seconds).shouldBeNull()
            known.violated(WeightNumber(2), 21_001.milliseconds) shouldBe declarations[1]
            known.violated(WeightNumber(3), 60.seconds).shouldBeNull()
            known.violated(WeightNumber(1), 60.seconds) shouldBe declarations[0]
        }

        test("the newest declaration is the last one") {
            known.newest shouldBe declarations[1]
            KnownVersions(1.seconds, WeightNumber(1), null, emptyList()).newest.shouldBeNull()
        }
    })

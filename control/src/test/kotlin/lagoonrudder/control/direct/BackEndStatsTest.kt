package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class BackEndStatsTest :
    FunSpec({
        // Sixteen requests at a back end that paused once ejected it for 5.6 s.
        test("a back end that was silent once is ejected as briefly for many requests as for one") {
            val stats = BackEndStats()
            repeat(16) { stats.recordSend(promptTokens = 0, 1.seconds) }
            repeat(16) { stats.recordOutcome(AttemptOutcome.TIMED_OUT, 3.seconds + 10.milliseconds * it) }
            stats.ejectedUntil shouldBeLessThanOrEqualTo 4.seconds
        }

        test("a back end that stays silent is ejected for longer each time") {
            val stats = BackEndStats()
            repeat(2) { stats.recordSend(promptTokens = 0, 1.seconds) }
            stats.recordOutcome(AttemptOutcome.TIMED_OUT, 3.seconds)
            val first = stats.ejectedUntil - 3.seconds
            stats.recordOutcome(AttemptOutcome.TIMED_OUT, 5.seconds)
            stats.ejectedUntil - 5.seconds shouldBeGreaterThan first
        }

        test("an attempt without a first event counts for how long it waited, unless others waited longer") {
            val stats = BackEndStats()
            stats.recordTimes(AttemptTimes(held = 900.milliseconds, firstEvent = null))
            stats.firstEvent shouldBe 900.milliseconds
            stats.recordTimes(AttemptTimes(held = 10.milliseconds, firstEvent = null))
            stats.firstEvent shouldBe 900.milliseconds
            stats.recordTimes(AttemptTimes(held = 1.seconds, firstEvent = 100.milliseconds))
            stats.firstEvent shouldBe 700.milliseconds
        }
    })

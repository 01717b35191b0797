package lagoonrudder.cli

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith

private const val DAY = "2026-07-31T19:06"

private fun lines(vararg texts: String) = texts.map { readLogLine(it).shouldNotBeNull() }

class RequestTraceTest :
    FunSpec({
        test("a line is read with quoted values, whatever stands before its time") {
            val line = readLogLine("  3.2 node $DAY:06.643 level=INFO event=paused process=a for=\"2 s\" at=4").shouldNotBeNull()
            line.event shouldBe "paused"
            line["for"] shouldBe "2 s"
            line["at"] shouldBe "4"
            line.text shouldStartWith DAY
        }

        test("a line that is no event is passed over") {
            readLogLine("Exception in thread").shouldBeNull()
            readLogLine("$DAY:06.643 something else").shouldBeNull()
            readLogLine("2026-99-31T19:06:06.643 event=started").shouldBeNull()
        }

        test("a request's line comes after what its own process believed last, in order") {
            val trace =
                traceRequest(
                    "r1",
                    lines(
                        "$DAY:03.000 level=INFO event=configuration-in-force process=a revision=2",
                        "$DAY:01.000 level=INFO event=configuration-in-force process=a revision=1",
                        "$DAY:04.000 level=INFO event=configuration-in-force process=b revision=3",
                        "$DAY:02.000 level=INFO event=back-end-listed process=a target=t1 address=10.0.0.1:80",
                        "$DAY:04.500 level=INFO event=slot-heard process=a back-end=10.0.0.1:80 closed=true",
                        "$DAY:05.000 level=INFO event=request-ended process=a request=r1 attempts=t1:lost:silent,t2:answered",
                        "$DAY:06.000 level=INFO event=configuration-in-force process=a revision=4",
                    ),
                )
            trace shouldHaveSize 4
            trace[0] shouldContain "believed for 3000 ms"
            trace[0] shouldContain "target=t1"
            trace[1] shouldContain "revision=2"
            trace[2] shouldContain "closed=true"
            trace[3] shouldContain "request=r1"
        }

        test("a request that no line names has no story") {
            traceRequest("r2", lines("$DAY:05.000 level=INFO event=request-ended process=a request=r1 attempts=")).shouldBeEmpty()
        }
    })

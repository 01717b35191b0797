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
        test("a line with quoted values and a prefix before its timestamp is parsed") {
            val line = readLogLine("  3.2 node $DAY:06.643 level=INFO event=paused process=a for=\"2 s\" at=4").shouldNotBeNull()
            line.event shouldBe "paused"
            line["for"] shouldBe "2 s"
            line["at"] shouldBe "4"
            line.text shouldStartWith DAY
        }

        test("a line that is not an event is ignored") {
            readLogLine("Exception in thread").shouldBeNull()
            readLogLine("$DAY:06.643 something else").shouldBeNull()
            readLogLine("2026-99-31T19:06:06.643 event=started").shouldBeNull()
        }

        test("a request's line follows the state last known to its own process, in order of time") {
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
            trace[0] shouldContain "known for 3000 ms"
            trace[0] shouldContain "target=t1"
            trace[1] shouldContain "revision=2"
            trace[2] shouldContain "closed=true"
            trace[3] shouldContain "request=r1"
        }

        test("a request on an old version follows who heard first of the newer one and how the target daemon switched") {
            val trace =
                traceRequest(
                    "r1",
                    lines(
                        "$DAY:00.500 level=INFO event=started process=t role=target back-end=10.0.0.1:80",
                        "$DAY:01.000 level=INFO event=version-declared process=b number=3 age-ms=0 age=known",
                        "$DAY:02.000 level=INFO event=back-end-listed process=a target=t1 address=10.0.0.1:80",
                        "$DAY:02.500 level=INFO event=version-declared process=a number=3 age-ms=0 age=known",
                        "$DAY:03.000 level=INFO event=switch-scheduled process=t number=3 in-ms=900",
                        "$DAY:03.500 level=INFO event=switch-begun process=u number=3",
                        "$DAY:10.600 level=WARN event=late-version process=a request=r1 target=t1 number=2 declared=3",
                        "$DAY:10.700 level=INFO event=loaded process=t number=3",
                    ),
                )
            trace shouldHaveSize 5
            trace[0] shouldContain "target=t1"
            trace[1] shouldContain "known for 8100 ms"
            trace[2] shouldContain "heard first 9600 ms before"
            trace[2] shouldContain "process=b"
            trace[3] shouldContain "target daemon 7600 ms before"
            trace[3] shouldContain "event=switch-scheduled"
            trace[4] shouldContain "event=late-version"
        }

        test("the attempts of a request name the declared version") {
            val trace =
                traceRequest(
                    "r1",
                    lines(
                        "$DAY:01.000 level=INFO event=version-declared process=b number=2",
                        "$DAY:02.000 level=INFO event=version-declared process=b number=10",
                        "$DAY:05.000 level=INFO event=request-ended process=a request=r1 " +
                            "attempts=\"t1:lost:silent:events=0:held=1@20:declared=2@900,t2:answered:events=4:held=10@20:declared=10@50\"",
                    ),
                )
            trace shouldHaveSize 2
            trace[0] shouldContain "number=10"
        }

        test("a request that no line mentions has an empty trace") {
            traceRequest("r2", lines("$DAY:05.000 level=INFO event=request-ended process=a request=r1 attempts=")).shouldBeEmpty()
        }
    })

package lagoonrudder.daemon.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.control.direct.DeclaredWeights
import lagoonrudder.control.direct.KnownVersions
import lagoonrudder.model.EventTime
import lagoonrudder.model.ModelId
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightNumber
import lagoonrudder.traffic.direct.AttemptRecord
import lagoonrudder.traffic.direct.AttemptVersions
import lagoonrudder.traffic.direct.LateVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val DECLARED =
    DeclaredWeights(ModelId("model"), WeightNumber(5), EventTime(10.seconds, 10_200.milliseconds), 10.seconds, 18.seconds)

private fun known(
    statusAge: Duration?,
    vararg declarations: DeclaredWeights,
) = KnownVersions(16_400.milliseconds, WeightNumber(4), statusAge, declarations.toList())

/** The fields by which a request on an old version is explained can be read from the lines. */
class AttemptTextTest :
    FunSpec({
        test("an attempt tells its versions, the age of what was known of them, and when its response began") {
            val versions =
                AttemptVersions(WeightNumber(5), known(120.milliseconds, DECLARED), WeightNumber(4), 35.milliseconds, 1_700.milliseconds)
            AttemptRecord(TargetId("t1"), "answered", 12, versions).describe() shouldBe
                "t1:answered:events=12:number=4:held=4@120:required=5:declared=5@6200-6400:head=35:first=1700"
        }

        test("an attempt omits what it does not have") {
            AttemptRecord(TargetId("t1"), "lost:silent", 0).describe() shouldBe "t1:lost:silent:events=0"
            val versions = AttemptVersions(null, known(null), null, null, null)
            AttemptRecord(TargetId("t1"), "lost:silent", 0, versions).describe() shouldBe "t1:lost:silent:events=0:held=4@listed"
        }

        test("a late version tells what was known and how long the request waited") {
            val versions = AttemptVersions(null, known(120.milliseconds, DECLARED), WeightNumber(4), 35.milliseconds, 1_700.milliseconds)
            LateVersion(TargetId("t1"), DECLARED, 8_100.milliseconds, versions, isResumed = false)
                .fields()
                .joinToString(" ") { "${it.first}=${it.second}" } shouldBe
                "target=t1 number=4 declared=5 age-ms=8100 waited-ms=1700 head-ms=35 held=4 heard-ms=120 required=null resumed=false"
        }
    })

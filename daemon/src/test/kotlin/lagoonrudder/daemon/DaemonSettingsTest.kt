package lagoonrudder.daemon

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.property.Arb
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import lagoonrudder.daemon.settings.readSettings
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.TargetId

private val target =
    """
    [daemon]
    name = worker-1-daemon
    role = target
    domain = ost
    [listen]
    rpc = 127.0.0.1:0
    operators = 127.0.0.1:9001
    [platform]
    configuration = 127.0.0.1:6001
    origin = 127.0.0.1:6002
    [peers]
    seeds = 127.0.0.1:7001, 127.0.0.1:7002
    [slot]
    target = worker-1
    back-end = 127.0.0.1:5001
    [limits]
    weight-memory-bytes = 1000000
    """.trimIndent()

private fun errorOf(text: String): String = readSettings(text, "daemon.ini").leftOrNull()?.detail.orEmpty()

class DaemonSettingsTest :
    FunSpec({
        test("all settings are parsed") {
            val settings = checkNotNull(readSettings(target, "daemon.ini").getOrNull())
            settings.role shouldBe DaemonRole.TARGET
            settings.listen.rpc shouldBe Address("127.0.0.1", 0)
            settings.seeds.size shouldBe 2
            settings.slot?.target shouldBe TargetId("worker-1")
            settings.limits.weights.memoryBytes shouldBe 1_000_000
        }

        test("errors name the file, the section and the key") {
            errorOf(target.replace("role = target", "role = king")) shouldBe
                "file daemon.ini section [daemon] key role: expected one of entry, target, found \"king\""
            errorOf(target.replace("127.0.0.1:6001", "platform.example:6001")) shouldContain
                "section [platform] key configuration: expected an IP address"
            errorOf(target.replace("[slot]", "[sloth]")) shouldContain "section [sloth]: expected one of the sections"
            errorOf(target.replace("back-end", "backend")) shouldContain "section [slot] key back-end"
            errorOf(target.replace("1000000", "-5")) shouldContain "section [limits] key weight-memory-bytes"
            errorOf(target.replace("[peers]", "[peers]\ncolour = red")) shouldContain "section [peers] key colour"
        }

        test("any text is parsed or refused without an exception") {
            checkAll(300, Arb.string(0..300)) { text -> readSettings(text, "daemon.ini") }
        }
    })

package lagoonrudder.daemon.direct

import arrow.core.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import lagoonrudder.model.Address
import lagoonrudder.model.SystemClock
import java.io.File
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SETTINGS = File("../deploy/rehearsal-entry.ini").readText()

private fun settingsWith(seeds: String) = SETTINGS.replace(Regex("(?m)^seeds = .*$"), "seeds = $seeds")

class SettingsReloadTest :
    FunSpec({
        // A daemon with stale seeds never found the others, since it read corrected settings only on a signal.
        test("changed seeds apply without a signal, and a file that can't be read changes nothing") {
            val file = tempfile()
            file.writeText(settingsWith("127.0.0.1:17701"))
            val settings = readSettingsFile(file.path).getOrElse { kotlin.error(it) }
            DirectCore(settings, SystemClock()).use { core ->
                core.launchLoop("settings") { SettingsReload(core, file.path).run() }

                suspend fun awaitSeeds(vararg ports: Int) =
                    withTimeout(5.seconds) {
                        val expected = ports.map { Address("127.0.0.1", it) }
                        while (core.thread.decide { core.peers.seeds } != expected) delay(20.milliseconds)
                    }
                awaitSeeds(17701)
                file.writeText(settingsWith("127.0.0.1:17702,127.0.0.1:17703"))
                awaitSeeds(17702, 17703)
                file.writeText("[daemon")
                delay(1_500.milliseconds)
                core.thread.decide { core.peers.seeds.size } shouldBe 2
                file.delete()
                delay(1_500.milliseconds)
                core.thread.decide { core.peers.seeds.size } shouldBe 2
                file.writeText(settingsWith("127.0.0.1:17704"))
                awaitSeeds(17704)
            }
        }
    })

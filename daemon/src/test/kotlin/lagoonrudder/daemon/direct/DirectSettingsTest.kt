package lagoonrudder.daemon.direct

import arrow.core.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import lagoonrudder.model.Address
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.RegionId
import java.io.File
import kotlin.time.Duration.Companion.seconds

private val ENTRY = File("../deploy/rehearsal-entry.ini").readText()
private val TARGET = File("../deploy/rehearsal-target.ini").readText()

private fun errorOf(text: String): String = readDirectSettings(text, "file.ini").leftOrNull().shouldNotBeNull().describe()

class DirectSettingsTest :
    FunSpec({
        test("settings of an entry daemon are parsed") {
            val settings = readDirectSettings(ENTRY, "file.ini").getOrElse { kotlin.error(it.describe()) }
            settings.role shouldBe DaemonRole.ENTRY
            settings.listen.shouldNotBeNull().callers shouldBe Address("127.0.0.1", 17611)
            settings.regions shouldBe mapOf(DomainId("one") to RegionId("first"))
            settings.bounds.versionLimit shouldBe 8.seconds
            settings.slot.shouldBeNull()
        }

        test("settings of a target daemon are parsed") {
            val settings = readDirectSettings(TARGET, "file.ini").getOrElse { kotlin.error(it.describe()) }
            settings.slot.shouldNotBeNull().backEnd shouldBe Address("127.0.0.1", 17618)
            settings.listen.shouldBeNull()
        }

        test("a target daemon serves chunks only at an address that is set") {
            val settings = readDirectSettings(TARGET + "\n[listen]\nchunks = 127.0.0.1:17619\n", "file.ini")
            settings.getOrElse { kotlin.error(it.describe()) }.chunks shouldBe Address("127.0.0.1", 17619)
            readDirectSettings(TARGET, "file.ini").getOrElse { kotlin.error(it.describe()) }.chunks.shouldBeNull()
            errorOf(TARGET + "\n[listen]\nchunks = here\n") shouldContain "section [listen] key chunks"
        }

        test("a slot without a back end is parsed as no slot") {
            val empty = TARGET.replace("back-end = 127.0.0.1:17618", "back-end = ")
            readDirectSettings(empty, "file.ini").getOrElse { kotlin.error(it.describe()) }.slot.shouldBeNull()
        }

        test("the time of contact is optional, so that settings from before it are parsed") {
            fun contact(text: String) = readDirectSettings(text, "file.ini").getOrElse { kotlin.error(it.describe()) }.bounds.contact
            contact(ENTRY) shouldBe 3.seconds
            contact(ENTRY.replace("version = 8s", "version = 8s\ncontact = 4000ms")) shouldBe 4.seconds
        }

        test("an error names the file, the section and the key") {
            errorOf(ENTRY.replace("version = 8s", "version = soon")) shouldContain "file file.ini section [bounds] key version"
            errorOf(ENTRY.replace("role = entry", "role = other")) shouldContain "section [daemon] key role"
            errorOf(ENTRY.replace("[store]", "[shop]")) shouldContain "section [store]"
        }
    })

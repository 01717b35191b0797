@file:OptIn(ExperimentalCli::class)

package lagoonrudder.cli

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import lagoonrudder.model.objectSet
import lagoonrudder.wire.documents.writeObjects
import java.io.File

private val objects =
    objectSet {
        region("ost", origin = true)
        domain("ost")
        customer("tirol")
        plainFleet("ledger")
        target("ledger-1", "ledger", "ost")
        route("fees", "/v1/fees", "ledger", idempotent = false)
    }

private class Run(
    vararg arguments: String,
) {
    val lines = mutableListOf<String>()
    val errors = mutableListOf<String>()
    private val console = Console({ lines += it }, { errors += it })
    val code: Int

    init {
        val parser = ArgParser("lagoonrudder")
        parser.subcommands(*objectCommands(console).toTypedArray())
        parser.parse(arrayOf(*arguments))
        code = console.exitCode
    }
}

class ObjectCommandsTest :
    FunSpec({
        val folder = tempdir()

        fun file(
            name: String,
            text: String = writeObjects(objects.byKey.values),
        ): String = File(folder, name).apply { writeText(text) }.path

        test("a good file passes, one with findings exits with 1, one that can't be read with 2") {
            Run("check", file("good.ini")).code shouldBe 0
            val dangling = Run("check", file("dangling.ini", "[domain ost]\nregion = nowhere\nservice = in\n"))
            dangling.code shouldBe 1
            dangling.errors.single() shouldContain "section [domain ost] key region"
            Run("check", file("malformed.ini", "[region ost]\norigin = perhaps\n")).code shouldBe 2
            Run("check", "$folder/missing.ini").code shouldBe 2
        }

        test("sealing writes the parts and the head, and a revision that does not rise exits with 1") {
            val good = file("seal.ini")
            Run("seal", good, "--revision", "4", "--out", "$folder/sealed").code shouldBe 0
            File(folder, "sealed").list().orEmpty().count { it.startsWith("part-") } shouldBe 1
            Run("seal", good, "--revision", "4", "--before", "$folder/sealed", "--out", "$folder/again").code shouldBe 1
            Run("seal", good, "--revision", "5", "--before", "$folder/sealed", "--out", "$folder/again").code shouldBe 0
        }

        test("taking a failure domain out edits the file, and the difference shows it") {
            val before = file("before.ini")
            val after = file("after.ini")
            Run("out", "domain", "ost", after).code shouldBe 0
            Run("diff", before, after).lines shouldContain "changed [domain ost] service: in -> out"
            Run("in", "domain", "ost", after)
            Run("diff", before, after).lines shouldBe listOf("removed=0 changed=0")
            Run("out", "domain", "sued", after).code shouldBe 2
        }

        test("a route is explained down to its targets") {
            val lines = Run("explain", "fees", file("explain.ini")).lines
            lines.last() shouldBe "target=ledger-1 domain=ost service=in requests=16"
            Run("explain", "nothing", file("explain.ini")).code shouldBe 2
        }
    })

package lagoonrudder.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.io.File

private val decisions = listOf("model", "control", "traffic")
private val encodings = listOf("io.grpc", "io.ktor", "kotlinx.serialization", "org.ini4j", "lagoonrudder.wire", "lagoonrudder.daemon")
private val blocking =
    listOf("Thread.sleep", "runBlocking", ".readText()", "CountDownLatch", "synchronized(", "ReentrantLock", ".get(TimeUnit")
private val upwards =
    mapOf(
        "model" to listOf("lagoonrudder.control", "lagoonrudder.traffic"),
        "control" to listOf("lagoonrudder.traffic"),
        "traffic" to emptyList(),
        "wire" to listOf("lagoonrudder.daemon", "lagoonrudder.cli", "lagoonrudder.standins"),
        "daemon" to listOf("lagoonrudder.cli", "lagoonrudder.standins"),
        "cli" to listOf("lagoonrudder.daemon", "lagoonrudder.standins", "lagoonrudder.control"),
    )

private fun sources(module: String): List<File> =
    File("../$module/src/main/kotlin")
        .walk()
        .filter { it.extension == "kt" }
        .toList()
        .also { it.size shouldBeGreaterThan 0 }

private fun lines(
    module: String,
    words: List<String>,
): List<String> =
    sources(module).flatMap { file ->
        file.readLines().filter { line -> words.any { it in line } }.map { "${file.name}: ${it.trim()}" }
    }

class ShapeTest :
    FunSpec({
        for (module in decisions) {
            test("$module knows no encoding, no HTTP and no gRPC") { lines(module, encodings.map { "import $it" }).shouldBeEmpty() }
            test("nothing in $module blocks a thread") { lines(module, blocking).shouldBeEmpty() }
        }

        for ((module, forbidden) in upwards) {
            test("$module depends on nothing above it") { lines(module, forbidden.map { "import $it" }).shouldBeEmpty() }
        }

        test("every identifier of the model is a value class") {
            val ids = File("../model/src/main/kotlin/lagoonrudder/model/Ids.kt").readLines()
            ids.filter { it.startsWith("class ") || it.startsWith("data class ") }.shouldBeEmpty()
        }
    })

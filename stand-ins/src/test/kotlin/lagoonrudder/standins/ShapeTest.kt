package lagoonrudder.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.io.File

private val decisionModules = listOf("model", "control", "traffic")
private val encodingPackages =
    listOf("io.grpc", "io.ktor", "kotlinx.serialization", "org.ini4j", "lagoonrudder.wire", "lagoonrudder.daemon")
private val blockingCalls =
    listOf("Thread.sleep", "runBlocking", ".readText()", "CountDownLatch", "synchronized(", "ReentrantLock", ".get(TimeUnit")
private val forbiddenImports =
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

private fun matchingLines(
    module: String,
    patterns: List<String>,
): List<String> =
    sources(module).flatMap { file ->
        file.readLines().filter { line -> patterns.any { it in line } }.map { "${file.name}: ${it.trim()}" }
    }

class ShapeTest :
    FunSpec({
        for (module in decisionModules) {
            test(
                "$module imports no encoding, HTTP or gRPC library",
            ) { matchingLines(module, encodingPackages.map { "import $it" }).shouldBeEmpty() }
            test("$module makes no blocking calls") { matchingLines(module, blockingCalls).shouldBeEmpty() }
        }

        for ((module, forbidden) in forbiddenImports) {
            test("$module depends on no module above it") { matchingLines(module, forbidden.map { "import $it" }).shouldBeEmpty() }
        }

        test("all identifiers of the model are value classes") {
            val ids = File("../model/src/main/kotlin/lagoonrudder/model/Ids.kt").readLines()
            ids.filter { it.startsWith("class ") || it.startsWith("data class ") }.shouldBeEmpty()
        }
    })

package lagoonrudder.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.delay
import lagoonrudder.control.IdempotencyPolicy
import lagoonrudder.model.VersionId
import kotlin.time.Duration.Companion.milliseconds

class WholePathTest :
    FunSpec({
        test("a request for text reaches an engine with the right weights and comes back whole") {
            site().use { site ->
                site.start(sampleObjects(festival))
                site.awaitVersion(VersionId("entry-assistant-1"))
                val caller = Caller(site.http)
                val end = caller.text(site.entries().first(), TextCall("/v1/dossier", "token-tirol", "Describe our perry.", 40))
                end.shouldBeInstanceOf<Reply.Complete>().version shouldBe "entry-assistant-1"
                site.violations.shouldBeEmpty()
            }
        }

        test("an order that may run at most once runs once, and its repeat at another entry gets the same answer") {
            site { build = { repeats = IdempotencyPolicy(clockSkew = 50.milliseconds) } }.use { site ->
                site.start(sampleObjects(festival))
                site.awaitReady()
                delay(100.milliseconds)
                val caller = Caller(site.http)
                val key = uuidV7At(System.currentTimeMillis())
                val ends = site.entries().map { caller.order(it, "/v1/entry-application", "token-tirol", key, "fee-17") }
                ends.forEach { it.shouldBeInstanceOf<Reply.Complete>() }
                site.services.values.sumOf { it.runs["fee-17"] ?: 0 } shouldBe 1
                site.violations.shouldBeEmpty()
            }
        }
    })

package lagoonrudder.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.delay
import lagoonrudder.control.IdempotencyPolicy
import lagoonrudder.model.VersionId
import kotlin.time.Duration.Companion.milliseconds

class WholePathTest :
    FunSpec({
        test("a text request is served completely by an engine with the configured version") {
            site().use { site ->
                site.start(sampleObjects(festival))
                site.awaitVersion(VersionId("entry-assistant-1"))
                val caller = Caller(site.http)
                val reply = caller.text(site.entries().first(), TextCall("/v1/dossier", "token-tirol", "Describe our perry.", 40))
                reply.shouldBeInstanceOf<Reply.Complete>().version shouldBe "entry-assistant-1"
                site.violations.shouldBeEmpty()
            }
        }

        // Guards against objects without customers that are taken for objects that ask for no token.
        test("without customers no request is served, whatever its token") {
            site().use { site ->
                site.start(sampleObjects(festival.copy(customers = emptyList())))
                site.awaitVersion(VersionId("entry-assistant-1"))
                for (token in listOf("token-tirol", "token-nobody", "")) {
                    val reply = Caller(site.http).text(site.entries().first(), TextCall("/v1/dossier", token, "Describe our perry.", 40))
                    reply.shouldBeInstanceOf<Reply.NotRun>().code shouldStartWith "unknown-customer"
                }
                site.violations.shouldBeEmpty()
            }
        }

        test("an order with an idempotency key runs once, and a retry through another entry daemon gets the same response") {
            site { daemonOptions = { idempotency = IdempotencyPolicy(clockSkew = 50.milliseconds) } }.use { site ->
                site.start(sampleObjects(festival))
                site.awaitReady()
                delay(100.milliseconds)
                val caller = Caller(site.http)
                val key = uuidV7At(System.currentTimeMillis())
                val replies = site.entries().map { caller.order(it, "/v1/entry-application", "token-tirol", key, "fee-17") }
                replies.forEach { it.shouldBeInstanceOf<Reply.Complete>() }
                site.services.values.sumOf { it.runs["fee-17"] ?: 0 } shouldBe 1
                site.violations.shouldBeEmpty()
            }
        }
    })

package lagoonrudder.wire

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.serializer
import lagoonrudder.control.TargetLoad
import lagoonrudder.model.CustomerId
import lagoonrudder.model.FleetId
import lagoonrudder.model.Refusal
import lagoonrudder.model.IdempotencyKey
import lagoonrudder.model.RequestId
import lagoonrudder.model.Revision
import lagoonrudder.model.VersionId
import lagoonrudder.traffic.RunEvent
import lagoonrudder.traffic.RunPermit
import lagoonrudder.traffic.RunRequest
import lagoonrudder.traffic.Work
import lagoonrudder.wire.messages.EventMessage
import lagoonrudder.wire.messages.MalformedMessage
import lagoonrudder.wire.messages.RunMessage
import lagoonrudder.wire.messages.decodeMessage
import lagoonrudder.wire.messages.encodeMessage
import lagoonrudder.wire.messages.toEvent
import lagoonrudder.wire.messages.toMessage
import lagoonrudder.wire.messages.toRequest
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private val request =
    RunRequest(
        request = RequestId("r"),
        attempt = 2,
        customer = CustomerId("c"),
        fleet = FleetId("f"),
        revision = Revision(9),
        versions = listOf(VersionId("v-2"), VersionId("v-1")),
        offset = 40,
        timeLeft = 800.milliseconds,
        tokens = 120,
        priority = 3,
        permit = RunPermit(IdempotencyKey("k"), 7),
        work = Work.Generate("Describe our perry.", 64),
    )

private fun there(event: RunEvent): RunEvent =
    decodeMessage(serializer<EventMessage>(), encodeMessage(serializer(), event.toMessage())).toEvent()

class MessagesTest :
    FunSpec({
        test("a request survives the way there") {
            decodeMessage(serializer<RunMessage>(), encodeMessage(serializer(), request.toMessage())).toRequest() shouldBe request
        }

        test("every event survives the way there") {
            val load = TargetLoad(8, 3, 500)
            val refusals =
                listOf(
                    Refusal.UnknownRoute,
                    Refusal.UnknownCustomer,
                    Refusal.Invalid("a key"),
                    Refusal.Overloaded(100.milliseconds),
                    Refusal.TooLate(200.milliseconds),
                    Refusal.NotServing(300.milliseconds, "switching"),
                    Refusal.NoTarget(400.milliseconds),
                    Refusal.WrongVersion(500.milliseconds),
                )
            val events =
                refusals.map { RunEvent.NotRun(it, load) } +
                    RunEvent.Head(RequestId("r"), 1, VersionId("v"), 200, "text/plain") +
                    RunEvent.Head(RequestId("r"), 1, null, 404, "") +
                    RunEvent.End(12, 0xFFFFFFFFL, null)
            events.forEach { there(it) shouldBe it }
            val bytes = there(RunEvent.Bytes(5, byteArrayOf(1, 2), 9)).shouldBeInstanceOf<RunEvent.Bytes>()
            bytes.data shouldBe byteArrayOf(1, 2)
        }

        test("messages that break their contract are refused") {
            shouldThrow<MalformedMessage> { EventMessage().toEvent() }
            shouldThrow<MalformedMessage> { RunMessage("r", 1, "c", "f", 1, timeLeftMilliseconds = 1, tokens = 1).toRequest() }
            shouldThrow<MalformedMessage> { request.copy(offset = -1).toMessage().toRequest() }
        }

        test("damaged bytes are read or refused as malformed, nothing else") {
            val good = encodeMessage(serializer(), request.toMessage())
            val random = Random(8)
            repeat(2_000) {
                val damaged =
                    good.copyOf(random.nextInt(good.size + 1)).also {
                        if (it.isNotEmpty()) {
                            it[random.nextInt(it.size)] =
                                random.nextInt().toByte()
                        }
                    }
                try {
                    decodeMessage(serializer<RunMessage>(), damaged).toRequest()
                } catch (_: MalformedMessage) {
                    Unit
                }
            }
        }
    })

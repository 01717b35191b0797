package lagoonrudder.wire

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import lagoonrudder.control.direct.StoreItem
import lagoonrudder.wire.messages.ItemMessage
import lagoonrudder.wire.messages.MalformedMessage
import lagoonrudder.wire.messages.deflated
import lagoonrudder.wire.messages.toItem
import lagoonrudder.wire.messages.toMessage

/** Guards against a configuration that fills the links between regions, and against one that arrives damaged. */
class ItemMessageTest :
    FunSpec({
        val routes = (1..1_000).joinToString { """{"name":"r-${it * 7919}","kind":"stream","timeoutMs":6000,"canResume":true}""" }

        test("a large value takes a fourth of its size at most and arrives as it was") {
            val message = StoreItem("op/config", 7, routes.encodeToByteArray()).toMessage().deflated()
            message.value.size shouldBeLessThan routes.length / 4
            message
                .toItem()
                .value
                ?.decodeToString() shouldBe routes
        }

        test("small values and removals are sent as they are") {
            val removed = StoreItem("op/config", 7, null).toMessage().deflated()
            removed.deflated shouldBe false
            removed.toItem().value.shouldBeNull()
            StoreItem("servers/a", 7, ByteArray(300)).toMessage().deflated().deflated shouldBe false
        }

        test("damaged and oversized compressed values are malformed") {
            val message = StoreItem("op/config", 7, ByteArray(8_000_000)).toMessage().deflated()
            shouldThrow<MalformedMessage> { message.toItem() }
            val cut = message.value.copyOf(message.value.size / 2)
            shouldThrow<MalformedMessage> { ItemMessage("op/config", 7, false, cut, deflated = true).toItem() }
            shouldThrow<MalformedMessage> { ItemMessage("op/config", 7, false, ByteArray(100) { 3 }, deflated = true).toItem() }
        }
    })

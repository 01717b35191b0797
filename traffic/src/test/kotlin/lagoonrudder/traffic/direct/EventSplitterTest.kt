package lagoonrudder.traffic.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import lagoonrudder.model.EventId

class EventSplitterTest :
    FunSpec({
        val text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"

        test("events are whole whatever pieces they arrive in") {
            for (size in 1..text.length) {
                val splitter = EventSplitter()
                val events =
                    text
                        .encodeToByteArray()
                        .toList()
                        .chunked(size)
                        .flatMap { splitter.take(it.toByteArray()) }
                events.map { it.id } shouldContainExactly listOf(EventId(1), EventId(2))
                events.joinToString("") { it.bytes.decodeToString() } shouldBe text
                splitter.midEvent shouldBe false
            }
        }

        test("an event that never ends is noticed") {
            val splitter = EventSplitter()
            repeat(300) { splitter.take(ByteArray(1_000) { 'x'.code.toByte() }) }
            splitter.overflowed shouldBe true
        }

        test("half an event is kept back") {
            val splitter = EventSplitter()
            splitter.take("id: 1\ndata: a\n\nid: 2\nda".encodeToByteArray()).map { it.id } shouldContainExactly listOf(EventId(1))
            splitter.midEvent shouldBe true
        }
    })

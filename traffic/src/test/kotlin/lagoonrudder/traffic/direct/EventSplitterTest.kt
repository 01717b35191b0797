package lagoonrudder.traffic.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import lagoonrudder.model.EventId
import kotlin.time.Duration.Companion.seconds

class EventSplitterTest :
    FunSpec({
        val text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"

        test("events are complete however their bytes are fragmented") {
            for (size in 1..text.length) {
                val splitter = EventSplitter()
                val events =
                    text
                        .encodeToByteArray()
                        .toList()
                        .chunked(size)
                        .flatMap { splitter.feed(it.toByteArray()) }
                events.map { it.id } shouldContainExactly listOf(EventId(1), EventId(2))
                events.joinToString("") { it.bytes.decodeToString() } shouldBe text
                splitter.hasPartialEvent shouldBe false
            }
        }

        test("an event that exceeds the size limit is detected") {
            val splitter = EventSplitter()
            repeat(300) { splitter.feed(ByteArray(1_000) { 'x'.code.toByte() }) }
            splitter.overflowed shouldBe true
        }

        // Each of many streams may hold as much; the limit was 256 KB.
        test("an event without end is detected before it takes much memory") {
            val splitter = EventSplitter()
            var fed = 0
            while (!splitter.overflowed) fed += ByteArray(1_000) { 'x'.code.toByte() }.also { splitter.feed(it) }.size
            fed shouldBeLessThan 70_000
        }

        // Examining all earlier bytes again for each new one would take minutes of processor time.
        test("an unterminated event that arrives a byte at a time costs no more than its size").config(timeout = 5.seconds) {
            val splitter = EventSplitter()
            while (!splitter.overflowed) splitter.feed(byteArrayOf('x'.code.toByte()))
        }

        test("an incomplete event is held back") {
            val splitter = EventSplitter()
            splitter.feed("id: 1\ndata: a\n\nid: 2\nda".encodeToByteArray()).map { it.id } shouldContainExactly listOf(EventId(1))
            splitter.hasPartialEvent shouldBe true
        }
    })

package lagoonrudder.wire

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.property.Arb
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import lagoonrudder.model.ObjectSet
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.Revision
import lagoonrudder.model.ObjectSnapshot
import lagoonrudder.model.AdminState
import lagoonrudder.model.objectSet
import lagoonrudder.wire.documents.readHead
import lagoonrudder.wire.documents.readObjects
import lagoonrudder.wire.documents.readParts
import lagoonrudder.wire.documents.readSet
import lagoonrudder.wire.documents.seal
import lagoonrudder.wire.documents.writeChanges
import lagoonrudder.wire.documents.writeObjects
import lagoonrudder.wire.documents.writeSet
import kotlin.random.Random

private val peer = Peer(PeerRole.PLATFORM, "test")

private fun objects(
    customers: Int = 3,
    out: Boolean = false,
): ObjectSet =
    objectSet {
        region("ost", origin = true)
        region("west")
        link("ost", "west", 2_250_000)
        domain("ost", service = if (out) AdminState.OUT else AdminState.IN)
        repeat(customers) { customer("customer-$it") }
        model("m")
        version("m-1", "m", bytes = 100, chunkBytes = 10)
        version("m-2", "m", bytes = 100, chunkBytes = 10, base = "m-1")
        engineFleet("workers", "m-2", replaces = "m-1")
        plainFleet("ledger")
        target("worker-1", "workers", "ost")
        target("ledger-1", "ledger", "ost")
        route("dossier", "/v1/dossier", "workers")
        route("fees", "/v1/fees", "ledger", idempotent = false, fallback = "dossier")
    }

private fun findings(text: String): List<String> =
    readObjects(text, "objects.ini").fold({ found ->
        found.map {
            it.detail
        }
    }, { emptyList() })

class ObjectTextTest :
    FunSpec({
        test("what is written is read back") {
            readObjects(writeObjects(objects().byKey.values), "objects.ini").getOrNull()?.digest shouldBe objects().digest
        }

        test("errors name the file, the section and the key") {
            findings("[region ost]\norigin = perhaps\n") shouldContainExactly
                listOf("file objects.ini section [region ost] key origin: expected yes or no, found \"perhaps\"")
            findings("[region ost]\norigin = yes\ncolour = red\n").single() shouldContain "key colour"
            findings("[planet ost]\n").single() shouldContain "section [planet ost]"
            findings("[domain ost]\nservice = in\n").single() shouldContain "key region"
        }

        test("repeated sections and repeated keys are errors") {
            findings("[region ost]\norigin = yes\n[region ost]\norigin = no\n").single() shouldContain "section [region ost]"
            findings("[region ost]\norigin = yes\norigin = no\n").single() shouldContain "key origin"
        }

        test("any text is read or refused, never an exception") {
            checkAll(500, Arb.string(0..200)) { text -> readObjects(text, "objects.ini") }
        }

        test("any single wrong byte in a good file is read or refused, never an exception") {
            val good = writeObjects(objects().byKey.values)
            val random = Random(4)
            repeat(500) {
                val damaged = good.toCharArray().also { it[random.nextInt(it.size)] = random.nextInt(32, 127).toChar() }
                readObjects(String(damaged), "objects.ini")
            }
        }

        test("a sealed document leads a reader without and with the set before to the same set") {
            val before = ObjectSnapshot(Revision(3), objects())
            val after = ObjectSnapshot(Revision(4), objects(customers = 5, out = true))
            val document = checkNotNull(seal(after, before, "objects.ini").getOrNull())
            val head = checkNotNull(readHead(document.head, peer).getOrNull())
            readParts(head, document.parts.associate { it.digest to it.text }, peer).getOrNull()?.digest shouldBe after.digest
            val changes = checkNotNull(head.changes)
            before.objects.plus(changes.changes).digest shouldBe after.digest
            readHead(writeChanges(changes), peer).getOrNull()?.changes shouldBe changes
            readSet(writeSet(after), peer).getOrNull()?.digest shouldBe after.digest
        }

        test("a revision that does not rise is not sealed") {
            val set = ObjectSnapshot(Revision(3), objects())
            seal(set, set, "objects.ini").leftOrNull()?.detail.orEmpty() shouldContain "above 3"
        }

        test("a part with a wrong byte, a missing part and a whole set with a wrong byte are refused") {
            val set = ObjectSnapshot(Revision(1), objects())
            val document = checkNotNull(seal(set, ObjectSnapshot.EMPTY, "objects.ini").getOrNull())
            val head = checkNotNull(readHead(document.head, peer).getOrNull())
            val parts = document.parts.associate { it.digest to it.text }
            readParts(head, parts.mapValues { it.value.replace("customer-1", "customer-9") }, peer).isLeft() shouldBe true
            readParts(head, emptyMap(), peer).isLeft() shouldBe true
            readSet(writeSet(set).replace("customer-1", "customer-9"), peer).isLeft() shouldBe true
        }

        test("a large set is cut into parts under a megabyte") {
            val set = ObjectSnapshot(Revision(1), objects(customers = 20_000))
            val parts = checkNotNull(seal(set, ObjectSnapshot.EMPTY, "objects.ini").getOrNull()).parts
            (parts.size > 1) shouldBe true
            parts.all { it.text.length < 1_000_000 } shouldBe true
        }
    })

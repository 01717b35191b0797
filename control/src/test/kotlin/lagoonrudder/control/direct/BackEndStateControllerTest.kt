/**
 * Guards against an old state of a back end that is taken for its latest one.
 */
package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.WeightNumber
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class BackEndStateControllerTest :
    FunSpec({
        val start = 10.seconds
        val backEnd = backEnd("a")

        fun status(
            sequence: Long,
            number: Long,
            closed: Boolean,
            born: Long = backEnd.born,
        ) = SlotWord(backEnd.address, born, HeldWeights(MODEL, WeightNumber(number), LAYERS), closed, sequence)

        // A message that waited for a connection opened the back end again for those that send requests, until the next message.
        test("a status that arrives after a later one changes nothing") {
            val states = BackEndStateController()
            states.onGossipReceived(status(sequence = 2, number = 1, closed = true), start) shouldBe true
            states.onGossipReceived(status(sequence = 1, number = 1, closed = false), start + 100.milliseconds) shouldBe false
            states.closed(backEnd, start + 200.milliseconds) shouldBe true
            states.onGossipReceived(status(sequence = 4, number = 2, closed = false), start + 1.seconds) shouldBe true
            states.onGossipReceived(status(sequence = 3, number = 1, closed = true), start + 1.1.seconds) shouldBe false
            states.closed(backEnd, start + 1.2.seconds) shouldBe false
            states.held(backEnd, start + 1.2.seconds)?.number shouldBe WeightNumber(2)
        }

        test("a status of an earlier run that arrives after one of a later run changes nothing") {
            val states = BackEndStateController()
            states.onGossipReceived(status(sequence = 2, number = 1, closed = false, born = 2), start)
            states.onGossipReceived(status(sequence = 1, number = 1, closed = false, born = 1), start + 100.milliseconds)
            states.closed(backEnd, start + 200.milliseconds) shouldBe true
        }

        test("a repeated status stays fresh, and an old one does not renew a later one") {
            val states = BackEndStateController()
            val closed = status(sequence = 2, number = 1, closed = true)
            states.onGossipReceived(closed, start)
            states.onGossipReceived(closed, start + 4.seconds) shouldBe false
            states.onGossipReceived(status(sequence = 1, number = 1, closed = true), start + 8.seconds)
            states.closed(backEnd, start + 8.9.seconds) shouldBe true
            states.closed(backEnd, start + 9.1.seconds) shouldBe false
        }

        test("a target daemon whose clock was set back is heard once its earlier status has expired") {
            val states = BackEndStateController()
            states.onGossipReceived(status(sequence = 9_000, number = 1, closed = true), start)
            states.onGossipReceived(status(sequence = 2_000, number = 2, closed = false), start + 5.1.seconds) shouldBe true
            states.held(backEnd, start + 5.2.seconds)?.number shouldBe WeightNumber(2)
        }
    })

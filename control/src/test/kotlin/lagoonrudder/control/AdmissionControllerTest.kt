package lagoonrudder.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import lagoonrudder.model.CustomerId
import lagoonrudder.model.FleetId
import lagoonrudder.model.Refusal
import lagoonrudder.model.RequestId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val line = QueueKey(FleetId("workers"), null)

private fun waiting(
    number: Int,
    customer: String,
    weight: Int = 1,
    priority: Int = 1,
    deadline: Duration = 60.seconds,
    bytes: Long = 10,
) = QueuedRequest(RequestId("$customer-$number"), line, CustomerId(customer), weight, priority, 100, bytes, deadline)

private fun controller(
    policy: QueuePolicy = QueuePolicy.WeightedFair,
    bounds: QueueBounds = QueueBounds(),
) = AdmissionController(policy, bounds, strictInvariants())

private fun AdmissionController.takeAll(count: Int): List<QueuedRequest> = (1..count).mapNotNull { peek(line)?.also { take(it) } }

class AdmissionControllerTest :
    FunSpec({
        test("a burst of one customer does not make another wait behind it") {
            val queue = controller()
            repeat(100) { queue.enqueue(waiting(it, "large"), Duration.ZERO) }
            queue.enqueue(waiting(0, "small"), Duration.ZERO)
            queue.takeAll(3).count { it.customer == CustomerId("small") } shouldBe 1
        }

        test("the baseline lets it wait behind the whole burst") {
            val queue = controller(QueuePolicy.ArrivalOrder)
            repeat(100) { queue.enqueue(waiting(it, "large"), Duration.ZERO) }
            queue.enqueue(waiting(0, "small"), Duration.ZERO)
            queue.takeAll(100).none { it.customer == CustomerId("small") } shouldBe true
        }

        test("customers share by weight") {
            val queue = controller()
            repeat(100) {
                queue.enqueue(waiting(it, "three", weight = 3), Duration.ZERO)
                queue.enqueue(waiting(it, "one", weight = 1), Duration.ZERO)
            }
            queue.takeAll(40).count { it.customer == CustomerId("three") } shouldBeInRange 28..32
        }

        test("a higher priority goes first") {
            val queue = controller()
            queue.enqueue(waiting(1, "a"), Duration.ZERO)
            queue.enqueue(waiting(2, "b", priority = 5), Duration.ZERO)
            queue.peek(line)?.customer shouldBe CustomerId("b")
        }

        test("the queue is bounded by count and by bytes") {
            val byCount = controller(bounds = QueueBounds(requests = 1))
            byCount.enqueue(waiting(1, "a"), Duration.ZERO).shouldBeInstanceOf<QueueDecision.Queued>()
            byCount.enqueue(waiting(2, "a"), Duration.ZERO).shouldBeInstanceOf<QueueDecision.Refused>()
            val byBytes = controller(bounds = QueueBounds(bytes = 30))
            byBytes.enqueue(waiting(1, "a"), Duration.ZERO).shouldBeInstanceOf<QueueDecision.Queued>()
            byBytes.enqueue(waiting(2, "a"), Duration.ZERO).shouldBeInstanceOf<QueueDecision.Refused>()
        }

        test("a request that can't end in time is refused early, with a time to come back") {
            val queue = controller()
            repeat(200) { queue.onRequestCompleted(waiting(it, "a"), 300.milliseconds, 100.milliseconds * it) }
            repeat(50) { queue.enqueue(waiting(it, "a"), 20.seconds) }
            val refused = queue.enqueue(waiting(60, "a", deadline = 22.seconds), 20.seconds).shouldBeInstanceOf<QueueDecision.Refused>()
            refused.refusal
                .shouldBeInstanceOf<Refusal.TooLate>()
                .retryAfter shouldBe 5_100.milliseconds
            queue.enqueue(waiting(61, "b", deadline = 22.seconds), 20.seconds).shouldBeInstanceOf<QueueDecision.Queued>()
        }

        test("a request that could go but not end in time is refused, and one that waits too long leaves the queue") {
            val queue = controller()
            repeat(200) { queue.onRequestCompleted(waiting(it, "a"), 300.milliseconds, 100.milliseconds * it) }
            queue.enqueue(waiting(1, "a", deadline = 20.2.seconds), 20.seconds).shouldBeInstanceOf<QueueDecision.Refused>()
            queue.enqueue(waiting(2, "a", deadline = 20.4.seconds), 20.seconds).shouldBeInstanceOf<QueueDecision.Queued>()
            queue.expire(20.05.seconds).size shouldBe 0
            queue.expire(20.2.seconds).size shouldBe 1
        }

        test("a line whose requests once took too long tries again after a while") {
            val queue = controller()
            repeat(50) { queue.onRequestCompleted(waiting(it, "a"), 30.seconds, 1.seconds * it) }
            queue.enqueue(waiting(1, "a", deadline = 60.seconds), 50.seconds).shouldBeInstanceOf<QueueDecision.Refused>()
            queue.enqueue(waiting(2, "a", deadline = 70.seconds), 60.seconds).shouldBeInstanceOf<QueueDecision.Queued>()
        }

        test("one customer's high priority does not shut another customer out") {
            val queue = controller()
            repeat(100) { queue.enqueue(waiting(it, "large", priority = 9), Duration.ZERO) }
            queue.enqueue(waiting(0, "small", priority = 0), Duration.ZERO)
            queue.takeAll(60).count { it.customer == CustomerId("small") } shouldBe 1
        }

        test("a customer that comes late gets its share at once although another was served ahead by priority") {
            val queue = controller()
            repeat(400) { queue.enqueue(waiting(it, "large", priority = 9), Duration.ZERO) }
            queue.takeAll(200)
            repeat(100) { queue.enqueue(waiting(it, "small", priority = 1), Duration.ZERO) }
            queue.takeAll(140).count { it.customer == CustomerId("small") } shouldBeInRange 45..100
        }

        test("one customer can't fill the queue") {
            val queue = controller(bounds = QueueBounds(requests = 10))
            repeat(10) { queue.enqueue(waiting(it, "large"), Duration.ZERO) }
            queue.queueLength(line) shouldBe 5
            queue.enqueue(waiting(0, "small"), Duration.ZERO).shouldBeInstanceOf<QueueDecision.Queued>()
        }

        test("requests whose deadline passed leave the queue") {
            val queue = controller()
            queue.enqueue(waiting(1, "a", deadline = 1.seconds), Duration.ZERO)
            queue.expire(2.seconds).size shouldBe 1
            queue.peek(line) shouldBe null
        }
    })

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

private val queueKey = QueueKey(FleetId("workers"), null)

private fun request(
    number: Int,
    customer: String,
    weight: Int = 1,
    priority: Int = 1,
    deadline: Duration = 60.seconds,
    bytes: Long = 10,
) = QueuedRequest(RequestId("$customer-$number"), queueKey, CustomerId(customer), weight, priority, 100, bytes, deadline)

private fun controller(
    policy: QueuePolicy = QueuePolicy.WeightedFair,
    bounds: QueueBounds = QueueBounds(),
) = AdmissionController(policy, bounds, strictInvariants())

private fun AdmissionController.dequeueAll(count: Int): List<QueuedRequest> = (1..count).mapNotNull { peek(queueKey)?.also { dequeue(it) } }

class AdmissionControllerTest :
    FunSpec({
        test("a burst of one customer does not delay the requests of another") {
            val queue = controller()
            repeat(100) { queue.enqueue(request(it, "large"), Duration.ZERO) }
            queue.enqueue(request(0, "small"), Duration.ZERO)
            queue.dequeueAll(3).count { it.customer == CustomerId("small") } shouldBe 1
        }

        test("in arrival order, a request of another customer waits behind the whole burst") {
            val queue = controller(QueuePolicy.ArrivalOrder)
            repeat(100) { queue.enqueue(request(it, "large"), Duration.ZERO) }
            queue.enqueue(request(0, "small"), Duration.ZERO)
            queue.dequeueAll(100).none { it.customer == CustomerId("small") } shouldBe true
        }

        test("customers share by weight") {
            val queue = controller()
            repeat(100) {
                queue.enqueue(request(it, "three", weight = 3), Duration.ZERO)
                queue.enqueue(request(it, "one", weight = 1), Duration.ZERO)
            }
            queue.dequeueAll(40).count { it.customer == CustomerId("three") } shouldBeInRange 28..32
        }

        test("a request of higher priority is sent first") {
            val queue = controller()
            queue.enqueue(request(1, "a"), Duration.ZERO)
            queue.enqueue(request(2, "b", priority = 5), Duration.ZERO)
            queue.peek(queueKey)?.customer shouldBe CustomerId("b")
        }

        test("the queue is bounded by count and by bytes") {
            val byCount = controller(bounds = QueueBounds(requests = 1))
            byCount.enqueue(request(1, "a"), Duration.ZERO).shouldBeInstanceOf<QueueDecision.Queued>()
            byCount.enqueue(request(2, "a"), Duration.ZERO).shouldBeInstanceOf<QueueDecision.Refused>()
            val byBytes = controller(bounds = QueueBounds(bytes = 30))
            byBytes.enqueue(request(1, "a"), Duration.ZERO).shouldBeInstanceOf<QueueDecision.Queued>()
            byBytes.enqueue(request(2, "a"), Duration.ZERO).shouldBeInstanceOf<QueueDecision.Refused>()
        }

        test("a request that can't complete before its deadline is rejected early, with a retry time") {
            val queue = controller()
            repeat(200) { queue.onRequestCompleted(request(it, "a"), 300.milliseconds, 100.milliseconds * it) }
            repeat(50) { queue.enqueue(request(it, "a"), 20.seconds) }
            val rejected = queue.enqueue(request(60, "a", deadline = 22.seconds), 20.seconds).shouldBeInstanceOf<QueueDecision.Refused>()
            rejected.refusal
                .shouldBeInstanceOf<Refusal.TooLate>()
                .retryAfter shouldBe 5_100.milliseconds
            queue.enqueue(request(61, "b", deadline = 22.seconds), 20.seconds).shouldBeInstanceOf<QueueDecision.Queued>()
        }

        test("a request is rejected if its service time alone exceeds the deadline, and expires if it waits too long") {
            val queue = controller()
            repeat(200) { queue.onRequestCompleted(request(it, "a"), 300.milliseconds, 100.milliseconds * it) }
            queue.enqueue(request(1, "a", deadline = 20.2.seconds), 20.seconds).shouldBeInstanceOf<QueueDecision.Refused>()
            queue.enqueue(request(2, "a", deadline = 20.4.seconds), 20.seconds).shouldBeInstanceOf<QueueDecision.Queued>()
            queue.expire(20.05.seconds).size shouldBe 0
            queue.expire(20.2.seconds).size shouldBe 1
        }

        test("a queue that rejected requests after long service times admits requests again after a while") {
            val queue = controller()
            repeat(50) { queue.onRequestCompleted(request(it, "a"), 30.seconds, 1.seconds * it) }
            queue.enqueue(request(1, "a", deadline = 60.seconds), 50.seconds).shouldBeInstanceOf<QueueDecision.Refused>()
            queue.enqueue(request(2, "a", deadline = 70.seconds), 60.seconds).shouldBeInstanceOf<QueueDecision.Queued>()
        }

        test("a high priority of one customer does not starve another customer") {
            val queue = controller()
            repeat(100) { queue.enqueue(request(it, "large", priority = 9), Duration.ZERO) }
            queue.enqueue(request(0, "small", priority = 0), Duration.ZERO)
            queue.dequeueAll(60).count { it.customer == CustomerId("small") } shouldBe 1
        }

        test("a customer that arrives late gets its share immediately although another was served ahead by priority") {
            val queue = controller()
            repeat(400) { queue.enqueue(request(it, "large", priority = 9), Duration.ZERO) }
            queue.dequeueAll(200)
            repeat(100) { queue.enqueue(request(it, "small", priority = 1), Duration.ZERO) }
            queue.dequeueAll(140).count { it.customer == CustomerId("small") } shouldBeInRange 45..100
        }

        test("one customer can use at most half of the queue") {
            val queue = controller(bounds = QueueBounds(requests = 10))
            repeat(10) { queue.enqueue(request(it, "large"), Duration.ZERO) }
            queue.queueLength(queueKey) shouldBe 5
            queue.enqueue(request(0, "small"), Duration.ZERO).shouldBeInstanceOf<QueueDecision.Queued>()
        }

        test("requests past their deadline are removed from the queue") {
            val queue = controller()
            queue.enqueue(request(1, "a", deadline = 1.seconds), Duration.ZERO)
            queue.expire(2.seconds).size shouldBe 1
            queue.peek(queueKey) shouldBe null
        }
    })

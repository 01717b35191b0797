package lagoonrudder.traffic.direct

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import lagoonrudder.control.ControlThread
import lagoonrudder.control.direct.BackEndNoticeController
import lagoonrudder.control.direct.BackEndStateController
import lagoonrudder.control.direct.DecodedItem
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.PeerDaemon
import lagoonrudder.control.direct.PlacementBounds
import lagoonrudder.control.direct.PlacementController
import lagoonrudder.control.direct.RetryBudgetBounds
import lagoonrudder.control.direct.RetryBudgetShare
import lagoonrudder.control.direct.StopController
import lagoonrudder.control.direct.StoreItem
import lagoonrudder.control.direct.StorePosition
import lagoonrudder.control.direct.StoreViewController
import lagoonrudder.control.direct.Topology
import lagoonrudder.control.direct.suspicion.SuspicionController
import lagoonrudder.model.Address
import lagoonrudder.model.BackEnd
import lagoonrudder.model.BackEndNotice
import lagoonrudder.model.CallerAccess
import lagoonrudder.model.CallerLimits
import lagoonrudder.model.Clock
import lagoonrudder.model.DaemonId
import lagoonrudder.model.DaemonRole
import lagoonrudder.model.DomainId
import lagoonrudder.model.EventId
import lagoonrudder.model.Failure
import lagoonrudder.model.HeldWeights
import lagoonrudder.model.Invariants
import lagoonrudder.model.ModelId
import lagoonrudder.model.Outcome
import lagoonrudder.model.Peer
import lagoonrudder.model.PeerRole
import lagoonrudder.model.PromptPartId
import lagoonrudder.model.Refusal
import lagoonrudder.model.RegionId
import lagoonrudder.model.RequestId
import lagoonrudder.model.RequestKind
import lagoonrudder.model.Revision
import lagoonrudder.model.RouteId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServiceShare
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.ServingCustomer
import lagoonrudder.model.ServingRoute
import lagoonrudder.model.ServingService
import lagoonrudder.model.Step
import lagoonrudder.model.StoreRecord
import lagoonrudder.model.TargetId
import lagoonrudder.model.WeightLayout
import lagoonrudder.model.WeightNumber
import lagoonrudder.traffic.FilterChain
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val DOMAIN = DomainId("one")
private val REGION = RegionId("first")
private val SERVICE = ServiceId("service")
private val MODEL = ModelId("model")
private const val LAYERS = 4
private val OBJECTIVE = 400.milliseconds
private val CONNECT_TIMEOUT = 500.milliseconds

/** The scripted behaviour of a back end for one attempt. */
internal sealed class Behaviour {
    data object Unreachable : Behaviour()

    data class Replies(
        val events: List<ResponseEvent>,
    ) : Behaviour()

    /** Sends [events] and then nothing more. */
    data class Silent(
        val events: List<ResponseEvent>,
    ) : Behaviour()

    /** Sends a head at once and each other of [events] after a pause of [interval], then [filler] in the same way without end if set. */
    data class Paced(
        val events: List<ResponseEvent>,
        val interval: Duration,
        val filler: ResponseEvent? = null,
    ) : Behaviour()

    /** Sends each event after its pause. */
    data class Timed(
        val events: List<Pair<Duration, ResponseEvent>>,
    ) : Behaviour()

    /** Holds the request in a queue and begins it [at] that time, with the version loaded then, unless it was cancelled before. */
    data class Queued(
        val at: Duration,
        val loaded: () -> Long = { 1 },
    ) : Behaviour()

    /** Refuses no connection and accepts none. */
    data object Unconnected : Behaviour()

    /** Opens a connection after [duration] and then behaves as [next]. */
    data class Connects(
        val duration: Duration,
        val next: Behaviour,
    ) : Behaviour()

    /** Answers each attempt in its own way. */
    data class Answers(
        val answer: (DirectAttempt) -> Behaviour,
    ) : Behaviour()

    /** [error] is thrown where the attempt is encoded, or after [events] were read. */
    data class Fails(
        val error: Throwable,
        val events: List<ResponseEvent>? = null,
    ) : Behaviour()
}

/** The begin of a request at a back end, with the version that was loaded then. */
internal data class Begin(
    val version: Long,
    val at: Duration,
)

internal class FakeClient(
    private val behaviours: MutableList<Behaviour>,
    private val elapsed: () -> Duration,
) : BackEndClient {
    /** An attempt that was sent on a connection. */
    class Sent(
        val at: Duration,
        val attempt: DirectAttempt,
    )

    val attempts = mutableListOf<DirectAttempt>()
    val sent = mutableListOf<Sent>()
    var abandoned = 0

    /** The requests that began at a [Behaviour.Queued] back end. */
    val begins = mutableListOf<Begin>()

    override suspend fun send(
        attempt: DirectAttempt,
        onConnected: suspend (DirectAttempt) -> Either<Failure, DirectAttempt>,
    ): Either<Failure, OpenAttempt> {
        attempts += attempt
        val scripted = behaviours.removeFirst()
        val behaviour = if (scripted is Behaviour.Answers) scripted.answer(attempt) else scripted
        if (behaviour !is Behaviour.Connects) return behave(behaviour, attempt).onRight { sent += Sent(elapsed(), attempt) }
        delay(behaviour.duration)
        val confirmed = onConnected(attempt).getOrElse { return it.left() }
        sent += Sent(elapsed(), confirmed)
        return behave(behaviour.next, confirmed)
    }

    private suspend fun behave(
        behaviour: Behaviour,
        attempt: DirectAttempt,
    ): Either<Failure, OpenAttempt> =
        when (behaviour) {
            Behaviour.Unreachable -> Failure.Unreachable(Step.CONNECT, Peer(PeerRole.TARGET, "t"), "refused").left()
            Behaviour.Unconnected -> {
                delay(CONNECT_TIMEOUT)
                Failure.Unreachable(Step.CONNECT, Peer(PeerRole.TARGET, "t"), "timed out").left()
            }
            is Behaviour.Answers, is Behaviour.Connects -> error("a behaviour inside another one")
            is Behaviour.Fails -> FailingAttempt(behaviour.events ?: throw behaviour.error, behaviour.error).right()
            is Behaviour.Replies -> FakeAttempt(behaviour.events, silent = false).right()
            is Behaviour.Silent -> FakeAttempt(behaviour.events, silent = true).right()
            is Behaviour.Paced -> PacedAttempt(behaviour).right()
            is Behaviour.Timed -> TimedAttempt(behaviour).right()
            is Behaviour.Queued -> QueuedAttempt(behaviour, attempt).right()
        }

    override fun discardIdleConnections(backEnd: BackEnd) = Unit

    /** A pause of a back end, which does not begin anew when a read is cancelled. */
    private inner class ResumablePause {
        private var startedAt: Duration? = null

        suspend fun await(duration: Duration) {
            val since = startedAt ?: elapsed().also { startedAt = it }
            delay(since + duration - elapsed())
            startedAt = null
        }
    }

    private inner class PacedAttempt(
        private val behaviour: Behaviour.Paced,
    ) : OpenAttempt {
        private val rest = ArrayDeque(behaviour.events)
        private val pause = ResumablePause()

        override suspend fun next(): ResponseEvent {
            if (rest.firstOrNull() !is ResponseEvent.Head) pause.await(behaviour.interval)
            return rest.removeFirstOrNull() ?: behaviour.filler ?: ResponseEvent.End
        }

        override fun abandon() {
            abandoned++
        }
    }

    private inner class TimedAttempt(
        behaviour: Behaviour.Timed,
    ) : OpenAttempt {
        private val rest = ArrayDeque(behaviour.events)
        private val pause = ResumablePause()

        override suspend fun next(): ResponseEvent {
            val (duration, event) = rest.firstOrNull() ?: awaitCancellation()
            pause.await(duration)
            rest.removeFirst()
            return event
        }

        override fun abandon() {
            abandoned++
        }
    }

    private inner class QueuedAttempt(
        private val behaviour: Behaviour.Queued,
        private val attempt: DirectAttempt,
    ) : OpenAttempt {
        private var rest: ArrayDeque<ResponseEvent>? = null

        override suspend fun next(): ResponseEvent {
            delay(behaviour.at - elapsed())
            return (rest ?: begin().also { rest = it }).removeFirst()
        }

        private fun begin(): ArrayDeque<ResponseEvent> {
            val version = behaviour.loaded()
            begins += Begin(version, elapsed())
            val first = (attempt.resumeAfter?.number?.toInt() ?: 0) + 1
            return ArrayDeque(listOf(head(number = version), event(first), event(first + 1), ResponseEvent.End))
        }

        override fun abandon() {
            abandoned++
        }
    }

    private inner class FailingAttempt(
        events: List<ResponseEvent>,
        private val error: Throwable,
    ) : OpenAttempt {
        private val rest = ArrayDeque(events)

        override suspend fun next(): ResponseEvent = rest.removeFirstOrNull() ?: throw error

        override fun abandon() {
            abandoned++
        }
    }

    private inner class FakeAttempt(
        events: List<ResponseEvent>,
        private val silent: Boolean,
    ) : OpenAttempt {
        private val rest = ArrayDeque(events)

        override suspend fun next(): ResponseEvent =
            rest.removeFirstOrNull() ?: if (silent) awaitCancellation() else ResponseEvent.Broken("connection closed")

        override fun abandon() {
            abandoned++
        }
    }
}

internal class FakeResponse : CallerResponse {
    val heads = mutableListOf<ResponseHead>()

    /** The time that the caller takes to read each write. */
    var readTime = Duration.ZERO

    /** The time that the caller takes to read the rest after the end. */
    var lastReadTime = Duration.ZERO
    val body = StringBuilder()
    var ended = false

    override suspend fun respond(
        head: ResponseHead,
        body: ByteArray,
    ) {
        heads += head
        this.body.append(body.decodeToString())
        ended = true
    }

    override suspend fun begin(head: ResponseHead) {
        heads += head
    }

    override suspend fun write(bytes: ByteArray) {
        delay(readTime)
        body.append(bytes.decodeToString())
    }

    override suspend fun end() {
        ended = true
    }

    override suspend fun awaitTaken() = delay(lastReadTime)
}

internal fun head(
    status: Int = 200,
    execution: Execution = Execution.RUN,
    number: Long? = null,
    isEventStream: Boolean = status == 200,
    endsWithConnection: Boolean = false,
) = ResponseEvent.Head(
    ResponseHead(status, emptyList(), null, execution, number?.let { WeightNumber(it) }, isEventStream, endsWithConnection),
)

internal fun bytes(text: String) = ResponseEvent.Bytes(text.encodeToByteArray())

internal fun event(number: Int) = bytes("id: $number\ndata: $number\n\n")

internal fun text(vararg numbers: Int) = numbers.joinToString("") { "id: $it\ndata: $it\n\n" }

internal val NOT_RUN = Behaviour.Replies(listOf(head(503, Execution.NOT_RUN), ResponseEvent.End))
private val RESET = Behaviour.Replies(emptyList())
private val SUCCESS = Behaviour.Replies(listOf(head(), bytes("done"), ResponseEvent.End))

@OptIn(ExperimentalCoroutinesApi::class)
internal class Scene(
    scope: TestScope,
    kind: RequestKind,
    attempts: Int = 2,
    vararg behaviours: Behaviour,
    retrySlack: Double = 100.0,
    backEndIds: List<String> = listOf("a", "b", "c"),
    private val slots: Int = 4,
    customers: List<ServingCustomer> = emptyList(),
    random: Random = Random(1),
    held: Long? = null,
    versionLimit: Duration = 8.seconds,
    private val weights: HeldWeights? = null,
    coldRequestsPerSecond: Double? = null,
) {
    private val clock =
        object : Clock {
            override fun now() = Instant.fromEpochMilliseconds(scope.currentTime)

            override fun elapsed() = scope.currentTime.milliseconds
        }
    private val invariants = Invariants { error("violated: $it") }
    private val storeView = StoreViewController(invariants, versionLimit)
    private val self = PeerDaemon(DaemonId("self"), DaemonRole.ENTRY, DOMAIN, REGION, null)
    private val peers = PeerController(self, emptyList())
    private val suspicions = SuspicionController(peers)
    private val notices = BackEndNoticeController()
    private val placement =
        PlacementController(
            Topology(DOMAIN, mapOf(DOMAIN to REGION)),
            PlacementBounds(1.5, 5.0),
            storeView,
            peers,
            BackEndStateController(),
            suspicions,
            notices,
            random,
        )
    private val control =
        DirectControl(
            ControlThread.virtual(StandardTestDispatcher(scope.testScheduler), clock, invariants),
            clock,
            storeView,
            peers,
            placement,
            RetryBudgetShare(RetryBudgetBounds(0.2, 10.seconds, retrySlack)),
            suspicions,
            notices,
            StopController(8.seconds),
        )
    val link = FakeClient(behaviours.toMutableList(), clock::elapsed)
    val response = FakeResponse()
    val inFlight get() = placement.inFlight()
    val ends = mutableListOf<RequestEnd>()
    val lateVersions = mutableListOf<LateVersion>()
    val calls = mutableListOf<DirectCall>()
    private val chain =
        FilterChain(
            directFilters(control, link, random, onLateVersion = { _, late -> lateVersions += late }) { call, end ->
                calls += call
                ends += end
            },
        )
    private var published = 9L
    private val backEnds = backEndIds.map { backEnd(it, held) }

    /** The configuration at the start. */
    val configuration: ServingConfiguration

    init {
        val route =
            ServingRoute(
                RouteId("route"),
                "host",
                "/a/",
                kind,
                5.seconds,
                OBJECTIVE,
                1,
                attempts,
                listOf(ServiceShare(SERVICE, 1.0)),
                customers.isEmpty(),
                emptySet(),
            )
        val limits = CallerLimits(1, 1, 1.seconds, 1.seconds)
        configuration =
            ServingConfiguration(
                Revision(1),
                listOf(route),
                listOf(
                    ServingService(SERVICE, 9, coldRequestsPerSecond, held?.let { WeightLayout(listOf(MODEL), LAYERS, 1, 1) }, null, null),
                ),
                if (customers.isEmpty()) CallerAccess.Anyone else CallerAccess.OnlyCustomers(customers),
                limits,
            )
        val items =
            backEnds.mapIndexed {
                index,
                each,
                ->
                DecodedItem(StoreItem("servers/${each.id.text}", index + 2L, ByteArray(0)), StoreRecord.Registered(each))
            }
        storeView.applyChanges(
            items + DecodedItem(StoreItem("op/config", 1, ByteArray(0)), StoreRecord.Configuration(configuration)),
            StorePosition.unstated(9),
            Duration.ZERO,
        )
    }

    private fun backEnd(
        name: String,
        held: Long?,
    ) = BackEnd(
        id = TargetId(name),
        service = SERVICE,
        address = Address("10.0.0.1", 1),
        domain = DOMAIN,
        slots = slots,
        leaving = false,
        coldFor = Duration.ZERO,
        born = 1,
        weights = held?.let { HeldWeights(MODEL, WeightNumber(it), LAYERS) } ?: weights,
    )

    suspend fun run(
        path: String = "/a/b",
        timeLeft: Duration = 4.seconds,
        apiKey: String? = null,
        id: String = "r",
        to: CallerResponse = response,
        sharedParts: List<PromptPartId> = emptyList(),
    ): Outcome {
        val request =
            DirectRequest(RequestId(id), "POST", "host", path, apiKey, timeLeft, null, null, emptyList(), ByteArray(0), sharedParts)
        return chain.run(DirectCall(request, to, clock.elapsed()))
    }

    /** Publishes that the back end [id] is leaving. */
    suspend fun publishLeaving(id: TargetId) =
        put("servers/${id.text}") { StoreRecord.Registered(backEnds.first { it.id == id }.copy(leaving = true)) }

    /** Publishes that the back end [id] started anew. */
    suspend fun publishRestart(id: TargetId) =
        put("servers/${id.text}") { StoreRecord.Registered(backEnds.first { it.id == id }.copy(born = 2)) }

    /** Removes the back end [id]. */
    suspend fun publishRemoval(id: TargetId) = put("servers/${id.text}") { null }

    /** Publishes that the failure domain of all back ends is evacuated. */
    suspend fun publishEvacuation() = put("op/evacuate/${DOMAIN.text}") { StoreRecord.DomainEvacuation(DOMAIN) }

    /** Lets the back end [id] say [notice] of itself. */
    suspend fun notice(
        id: TargetId,
        notice: BackEndNotice,
    ) = control.thread.decide { notices.onNoticeReceived(backEnds.first { it.id == id }.run, notice, clock.elapsed()) }

    /** Lets [count] back ends that this daemon doesn't use crash at once under requests with [part]. */
    suspend fun crash(
        part: PromptPartId,
        count: Int,
    ) = control.thread.decide { repeat(count) { suspicions.onCrash(backEnd("other-$it", null), listOf(part), clock.elapsed()) } }

    /** Puts [next] in force, which the store or, if [fromPeer] is set, a peer has told. */
    suspend fun publish(
        next: ServingConfiguration,
        fromPeer: Boolean = false,
    ) = put("op/config", fromPeer) { StoreRecord.Configuration(next.copy(revision = Revision(it))) }

    /** Declares [version] as the one that all back ends must hold. */
    suspend fun declare(version: Long) = put("op/version/model") { StoreRecord.VersionDeclaration(MODEL, WeightNumber(version)) }

    /** Registers the back end [name] with the version that it holds now. */
    suspend fun register(
        name: String,
        held: Long,
    ) = put("servers/$name") { StoreRecord.Registered(backEnd(name, held)) }

    private suspend fun put(
        key: String,
        fromPeer: Boolean = false,
        recordAt: (Long) -> StoreRecord?,
    ) = control.thread.decide {
        val at = ++published
        val record = recordAt(at)
        val change = listOf(DecodedItem(StoreItem(key, at, if (record == null) null else ByteArray(0)), record))
        if (fromPeer) {
            storeView.applySettledChanges(change, StorePosition.unstated(at), clock.elapsed())
        } else {
            // An answer of the store without the change, so that its age is known.
            storeView.applyChanges(emptyList(), StorePosition.unstated(at - 1), clock.elapsed())
            storeView.applyChanges(change, StorePosition.unstated(at), clock.elapsed())
        }
        control.onStoreViewChanged()
    }
}

internal val STREAM = RequestKind.Stream(resumable = true, maxEventGap = 300.milliseconds)

@OptIn(ExperimentalCoroutinesApi::class)
class DirectSendFilterTest :
    FunSpec({
        test("an at-most-once request is not retried after a reset, and its outcome is unknown") {
            runTest {
                val scene = Scene(this, RequestKind.AtMostOnce, 2, RESET, SUCCESS)
                scene.run().shouldBeInstanceOf<Outcome.Unknown>()
                scene.link.attempts shouldHaveSize 1
            }
        }

        test("an at-most-once request is retried after proof that it did not run, and if no connection could be opened") {
            runTest {
                val scene = Scene(this, RequestKind.AtMostOnce, 1, NOT_RUN, Behaviour.Unreachable, SUCCESS)
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                scene.link.attempts
                    .map { it.backEnd.id }
                    .toSet() shouldHaveSize 3
                scene.response.body.toString() shouldBe "done"
            }
        }

        test("an at-most-once request waits for an unresponsive back end until its deadline, then its outcome is unknown") {
            runTest {
                val scene = Scene(this, RequestKind.AtMostOnce, 2, Behaviour.Silent(emptyList()))
                scene.run(timeLeft = 2.seconds).shouldBeInstanceOf<Outcome.Unknown>()
                testScheduler.currentTime shouldBe 2_000
                scene.link.abandoned shouldBe 1
            }
        }

        test("an idempotent request is retried elsewhere after a reset, but at no more back ends than its route allows") {
            runTest {
                val scene = Scene(this, RequestKind.Idempotent, 2, RESET, RESET, SUCCESS)
                scene.run().shouldBeInstanceOf<Outcome.Unknown>()
                scene.link.attempts shouldHaveSize 2
            }
        }

        test("an idempotent request is retried once after an error response, and the error is forwarded unchanged") {
            runTest {
                val failed = Behaviour.Replies(listOf(head(500), bytes("bad"), ResponseEvent.End))
                val scene = Scene(this, RequestKind.Idempotent, 2, failed, failed)
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                scene.response.heads
                    .single()
                    .status shouldBe 500
                scene.response.body.toString() shouldBe "bad"
            }
        }

        test("the error response to an at-most-once request is forwarded without a retry") {
            runTest {
                val scene =
                    Scene(this, RequestKind.AtMostOnce, 2, Behaviour.Replies(listOf(head(500), bytes("bad"), ResponseEvent.End)), SUCCESS)
                scene.run()
                scene.link.attempts shouldHaveSize 1
                scene.response.heads
                    .single()
                    .status shouldBe 500
            }
        }

        test("a response without proof of execution is never forwarded") {
            runTest {
                val forged = Behaviour.Replies(listOf(head(200, Execution.UNPROVEN), bytes("forged"), ResponseEvent.End))
                val scene = Scene(this, RequestKind.AtMostOnce, 2, forged)
                scene.run().shouldBeInstanceOf<Outcome.Unknown>()
                scene.response.body.toString() shouldBe ""
            }
        }

        test("a response that is truncated before it is complete is replaced") {
            runTest {
                val broken = Behaviour.Replies(listOf(head(), bytes("do")))
                val scene = Scene(this, RequestKind.Idempotent, 2, broken, SUCCESS)
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                scene.response.body.toString() shouldBe "done"
            }
        }

        test("a stream resumes after its last complete event within the same response") {
            runTest {
                val truncated = Behaviour.Replies(listOf(head(), event(1), event(2), bytes("id: 3\nda")))
                val rest = Behaviour.Replies(listOf(head(), event(3), event(4), ResponseEvent.End))
                val scene = Scene(this, STREAM, 2, truncated, rest)
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                scene.link.attempts.map { it.resumeAfter } shouldContainExactly listOf(null, EventId(2))
                scene.response.heads shouldHaveSize 1
                scene.response.body.toString() shouldBe text(1, 2, 3, 4)
            }
        }

        test("events that were already forwarded are not forwarded again, and a gap breaks the response") {
            runTest {
                val truncated = Behaviour.Replies(listOf(head(), event(1), event(2)))
                val overlapping = Behaviour.Replies(listOf(head(), event(2), event(3), ResponseEvent.End))
                val scene = Scene(this, STREAM, 2, truncated, overlapping)
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                scene.response.body.toString() shouldBe text(1, 2, 3)
            }
            runTest {
                val truncated = Behaviour.Replies(listOf(head(), event(1)))
                val gap = Behaviour.Replies(listOf(head(), event(3), ResponseEvent.End))
                val scene = Scene(this, STREAM, 2, truncated, gap)
                scene.run().shouldBeInstanceOf<Outcome.Broken>()
                scene.response.ended shouldBe false
                scene.response.body.toString() shouldBe text(1)
            }
        }

        test("a stream that ends inside an event is not complete") {
            runTest {
                val scene = Scene(this, STREAM, 1, Behaviour.Replies(listOf(head(), event(1), bytes("id: 2"), ResponseEvent.End)))
                scene.run().shouldBeInstanceOf<Outcome.Broken>()
                scene.response.ended shouldBe false
            }
        }

        test("a stream whose back end stops sending is resumed elsewhere before the caller gives up") {
            runTest {
                val scene =
                    Scene(
                        this,
                        STREAM,
                        2,
                        Behaviour.Silent(listOf(head(), event(1))),
                        Behaviour.Replies(listOf(head(), event(2), ResponseEvent.End)),
                    )
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                testScheduler.currentTime shouldBe STREAM.progressTimeout(OBJECTIVE).inWholeMilliseconds
                scene.response.body.toString() shouldBe text(1, 2)
            }
        }

        test("half of the time for which callers wait between events is left to the back end that takes over a stalled stream") {
            // Callers wait 2 s, four objectives or eight pauses, whichever is longest.
            STREAM.progressTimeout(400.milliseconds) shouldBe 1_200.milliseconds
            RequestKind.Stream(resumable = true, maxEventGap = 500.milliseconds).progressTimeout(600.milliseconds) shouldBe 2.seconds
            RequestKind.Stream(resumable = true, maxEventGap = null).progressTimeout(100.milliseconds) shouldBe 1.seconds
        }

        // A response that was handed to the connection counted as delivered, and its end was lost with the connection.
        test("a request ends once its caller has taken the end of the response, and broken if that is too late") {
            val events = listOf(head(), event(1), ResponseEvent.End)
            runTest {
                val scene = Scene(this, STREAM, 2, Behaviour.Replies(events))
                scene.response.lastReadTime = 3.seconds
                val running = async { scene.run(timeLeft = 4.seconds) }
                advanceTimeBy(1.seconds)
                running.isActive shouldBe true
                scene.inFlight shouldBe emptyMap()
                running.await().shouldBeInstanceOf<Outcome.Completed>()
            }
            for (kind in listOf(RequestKind.Idempotent, STREAM)) {
                runTest {
                    val scene = Scene(this, kind, 2, Behaviour.Replies(events))
                    scene.response.lastReadTime = 5.seconds
                    scene.run(timeLeft = 4.seconds).shouldBeInstanceOf<Outcome.Broken>()
                    scene.link.attempts shouldHaveSize 1
                }
            }
        }

        test("a slow stream whose events come in time is not cut, even if its caller reads slowly") {
            val events = listOf(head(), event(1), event(2), event(3))
            runTest {
                val scene = Scene(this, STREAM, 2, Behaviour.Paced(events, 1_100.milliseconds))
                scene.run(timeLeft = 10.seconds).shouldBeInstanceOf<Outcome.Completed>()
                scene.link.attempts shouldHaveSize 1
                scene.response.body.toString() shouldBe text(1, 2, 3)
            }
            runTest {
                val scene = Scene(this, STREAM, 2, Behaviour.Paced(events, 100.milliseconds))
                scene.response.readTime = 1_300.milliseconds
                scene.run(timeLeft = 10.seconds).shouldBeInstanceOf<Outcome.Completed>()
                scene.link.attempts shouldHaveSize 1
            }
        }

        test("a stream without new events is resumed elsewhere, even if its back end goes on sending bytes") {
            val fillers = listOf(bytes(": still here\n\n"), bytes(" "), event(1))
            for (filler in fillers) {
                runTest {
                    val trickle = Behaviour.Paced(listOf(head(), event(1)), 150.milliseconds, filler)
                    val rest = Behaviour.Replies(listOf(head(), event(2), ResponseEvent.End))
                    val scene = Scene(this, STREAM, 2, trickle, rest)
                    scene.run().shouldBeInstanceOf<Outcome.Completed>()
                    scene.link.attempts shouldHaveSize 2
                    testScheduler.currentTime shouldBe 150 + STREAM.progressTimeout(OBJECTIVE).inWholeMilliseconds
                }
            }
        }

        test("a request that every back end rejected is refused") {
            runTest {
                val scene = Scene(this, RequestKind.AtMostOnce, 1, NOT_RUN, NOT_RUN, NOT_RUN)
                scene
                    .run()
                    .shouldBeInstanceOf<Outcome.Refused>()
                    .refusal
                    .shouldBeInstanceOf<Refusal.NoTarget>()
            }
        }

        test("a refusal after part of a response does not make a request that ran count as not run") {
            for (parts in listOf(listOf(head()), listOf(head(), bytes("do")))) {
                val refused = Behaviour.Replies(parts + head(503, Execution.NOT_RUN) + ResponseEvent.End)
                runTest {
                    val scene = Scene(this, RequestKind.AtMostOnce, 2, refused, SUCCESS)
                    scene.run().shouldBeInstanceOf<Outcome.Unknown>()
                    scene.link.attempts shouldHaveSize 1
                }
            }
        }

        test("a request that one back end ran and another rejected is not refused as not run") {
            runTest {
                val failed = Behaviour.Replies(listOf(head(500), bytes("bad"), ResponseEvent.End))
                val scene = Scene(this, RequestKind.Idempotent, 2, failed, NOT_RUN, retrySlack = 20.0)
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                scene.link.attempts shouldHaveSize 2
                scene.response.body.toString() shouldBe "bad"
            }
        }

        test("a rejection whose body never ends counts as a rejection at its head") {
            runTest {
                val rejected = Behaviour.Paced(listOf(head(503, Execution.NOT_RUN)), 10.milliseconds, bytes("x"))
                val scene = Scene(this, RequestKind.AtMostOnce, 2, rejected, SUCCESS)
                scene.run().shouldBeInstanceOf<Outcome.Completed>()
                testScheduler.currentTime shouldBe 0
                scene.link.abandoned shouldBe 2
            }
        }

        test("a caller that disconnects cancels its attempt and frees its slot") {
            runTest {
                val scene = Scene(this, STREAM, 2, Behaviour.Silent(listOf(head(), event(1))))
                val running = launch { scene.run() }
                delay(100.milliseconds)
                scene.inFlight.values.sum() shouldBe 1
                running.cancel()
                delay(1.milliseconds)
                scene.link.abandoned shouldBe 1
                scene.inFlight.values.sum() shouldBe 0
            }
        }

        test("a request whose time is over before it could be sent is refused") {
            for (timeLeft in listOf((-1).seconds, (-200).milliseconds, (-100).milliseconds, 0.milliseconds)) {
                withClue(timeLeft) {
                    runTest {
                        val scene = Scene(this, RequestKind.AtMostOnce)
                        scene.run(timeLeft = timeLeft).shouldBeInstanceOf<Outcome.Refused>()
                        scene.link.attempts shouldHaveSize 0
                    }
                }
            }
        }

        test("an unknown route is refused and never sent") {
            runTest {
                val scene = Scene(this, STREAM, 2)
                scene.run(path = "/other").shouldBeInstanceOf<Outcome.Refused>().refusal shouldBe Refusal.UnknownRoute
                scene.link.attempts shouldHaveSize 0
            }
        }
    })

/**
 * Guards against requests that are dropped, given up or run twice because the configuration changes while their sound back end is
 * silent for a while: each is answered under the configuration that it was accepted with, or refused and not run.
 */
package lagoonrudder.traffic.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import lagoonrudder.model.CallerAccess
import lagoonrudder.model.CustomerId
import lagoonrudder.model.EventId
import lagoonrudder.model.Outcome
import lagoonrudder.model.RequestKind
import lagoonrudder.model.RouteId
import lagoonrudder.model.ServiceId
import lagoonrudder.model.ServiceShare
import lagoonrudder.model.ServingConfiguration
import lagoonrudder.model.ServingCustomer
import lagoonrudder.model.ServingRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val LAST_EVENT = 3
private const val KEY = "key"
private val CUSTOMERS = listOf(ServingCustomer(CustomerId("customer"), setOf(KEY), null, emptySet()))
private val ONCE_STREAM = RequestKind.Stream(resumable = false, maxEventGap = 300.milliseconds)
private val PAUSES = listOf(1_500, 1_650, 1_800).map { it.milliseconds }

/** Where a back end falls silent. */
private enum class Silence { CONNECTING, BEFORE_HEAD, BODY_WITH_LENGTH, CHUNKED_BODY, BODY_UNTIL_CLOSE, BEFORE_FIRST_EVENT, BETWEEN_EVENTS }

private val BODIES = setOf(Silence.BODY_WITH_LENGTH, Silence.CHUNKED_BODY, Silence.BODY_UNTIL_CLOSE)

private val KINDS =
    mapOf(
        "an idempotent request" to RequestKind.Idempotent,
        "a request that runs at most once" to RequestKind.AtMostOnce,
        "a resumable stream" to STREAM,
        "a stream that can't resume" to ONCE_STREAM,
    )

private fun RequestKind.mayBeSilentIn(silence: Silence): Boolean =
    when (silence) {
        Silence.CONNECTING, Silence.BEFORE_HEAD -> true
        Silence.BODY_WITH_LENGTH, Silence.CHUNKED_BODY, Silence.BODY_UNTIL_CLOSE -> this !is RequestKind.Stream
        Silence.BEFORE_FIRST_EVENT, Silence.BETWEEN_EVENTS -> this is RequestKind.Stream
    }

private fun plainHead(silence: Silence) =
    ResponseEvent.Head(
        ResponseHead(
            status = 200,
            fields = emptyList(),
            length = if (silence == Silence.BODY_WITH_LENGTH) 4 else null,
            execution = Execution.RUN,
            number = null,
            isEventStream = false,
            endsWithConnection = silence == Silence.BODY_UNTIL_CLOSE,
        ),
    )

/** Answers an attempt with a pause where [silence] says. */
private fun answer(
    kind: RequestKind,
    silence: Silence,
    pause: Duration,
) = Behaviour.Answers { attempt ->
    fun pauseIn(place: Silence) = if (silence == place) pause else 10.milliseconds
    when {
        silence == Silence.CONNECTING && pause > Duration.ZERO -> Behaviour.Unconnected
        kind !is RequestKind.Stream ->
            Behaviour.Timed(
                listOf(
                    pauseIn(Silence.BEFORE_HEAD) to plainHead(silence),
                    10.milliseconds to bytes("do"),
                    pauseIn(if (silence in BODIES) silence else Silence.CHUNKED_BODY) to bytes("ne"),
                    Duration.ZERO to ResponseEvent.End,
                ),
            )
        else -> Behaviour.Timed(streamAfter(attempt.resumeAfter, ::pauseIn))
    }
}

private fun streamAfter(
    last: EventId?,
    pauseIn: (Silence) -> Duration,
): List<Pair<Duration, ResponseEvent>> {
    val first = (last?.number?.toInt() ?: 0) + 1
    val events =
        (first..LAST_EVENT).map {
            pauseIn(if (it == 1) Silence.BEFORE_FIRST_EVENT else Silence.BETWEEN_EVENTS) to event(it)
        }
    return listOf(pauseIn(Silence.BEFORE_HEAD) to head()) + events + (Duration.ZERO to ResponseEvent.End)
}

/** Which other back ends may take a request over. */
private sealed class Others(
    val attempts: Int = 2,
    val retrySlack: Double = 100.0,
) {
    data object Sound : Others()

    data object None : Others()

    data object SilentAsWell : Others()

    data object NoRetryLeft : Others(attempts = 1)

    data object NoBudgetLeft : Others(retrySlack = 0.0)
}

private val ALL_OTHERS = listOf(Others.Sound, Others.None, Others.SilentAsWell, Others.NoRetryLeft, Others.NoBudgetLeft)

private fun ServingConfiguration.withCustomers(change: (List<ServingCustomer>) -> List<ServingCustomer>) =
    copy(access = CallerAccess.OnlyCustomers(change(customers)))

private fun ServingConfiguration.withRoute(change: (ServingRoute) -> ServingRoute) = copy(routes = routes.map(change))

private val RENAMED = ServiceId("renamed")

/** The configurations that follow [initial], 50 ms apart. */
private enum class Change(
    val next: (initial: ServingConfiguration) -> List<ServingConfiguration>,
) {
    NONE({ emptyList() }),
    SAME({ listOf(it) }),
    ROUTE_GONE({ listOf(it.copy(routes = emptyList())) }),
    ROUTE_RENAMED({ initial -> listOf(initial.withRoute { it.copy(id = RouteId("renamed"), prefix = "/renamed/") }) }),
    SERVICE_GONE({ listOf(it.copy(routes = emptyList(), services = emptyList())) }),
    SERVICE_RENAMED(
        { initial ->
            val services = initial.services.map { it.copy(id = RENAMED) }
            listOf(initial.copy(services = services).withRoute { it.copy(shares = listOf(ServiceShare(RENAMED, 1.0))) })
        },
    ),
    KEY_GONE({ initial -> listOf(initial.withCustomers { all -> all.map { it.copy(apiKeys = setOf("other")) } }) }),
    LAST_KEY_GONE({ initial -> listOf(initial.withCustomers { all -> all.map { it.copy(apiKeys = emptySet()) } }) }),
    CUSTOMER_GONE({ listOf(it.withCustomers { listOf(ServingCustomer(CustomerId("other"), setOf("other"), null, emptySet())) }) }),
    LAST_CUSTOMER_GONE({ listOf(it.withCustomers { emptyList() }) }),
    CUSTOMER_RENAMED({ initial -> listOf(initial.withCustomers { all -> all.map { it.copy(id = CustomerId("renamed")) } }) }),
    TIMEOUT_SHORTER({ initial -> listOf(initial.withRoute { it.copy(timeout = 1.seconds) }) }),
    TIMEOUT_LONGER({ initial -> listOf(initial.withRoute { it.copy(timeout = 9.seconds) }) }),
    ATTEMPTS_FEWER({ initial -> listOf(initial.withRoute { it.copy(attempts = 1) }) }),
    KIND_OTHER({ initial -> listOf(initial.withRoute { it.copy(kind = RequestKind.AtMostOnce) }) }),
    IDLE_SHORTER({ listOf(it.copy(limits = it.limits.copy(idleTimeout = 1.milliseconds, bodyBytes = 0))) }),
    GONE_AND_BACK({ listOf(it.copy(routes = emptyList(), services = emptyList()).withCustomers { emptyList() }, it) }),
}

/** The times from the start of the request at which the configuration changes. */
private val CHANGE_TIMES = listOf(0, 1, 700, 1_250, 1_490).map { it.milliseconds }

private fun completeBody(kind: RequestKind) = if (kind is RequestKind.Stream) text(*(1..LAST_EVENT).toList().toIntArray()) else "done"

/** Plays one request beside one change and checks its end. */
private fun shouldBeAnswered(
    kind: RequestKind,
    silence: Silence,
    pause: Duration,
    others: Others,
    change: Change,
    changeAt: Duration,
    fromPeer: Boolean,
) = runTest {
    val silent = answer(kind, silence, pause)
    val other = if (others == Others.Sound || others.attempts == 1) answer(kind, silence, Duration.ZERO) else silent
    val backEnds = if (others == Others.None) listOf("a") else listOf("a", "b", "c")
    val scene =
        Scene(
            this,
            kind,
            others.attempts,
            silent,
            other,
            other,
            retrySlack = others.retrySlack,
            backEndIds = backEnds,
            customers = CUSTOMERS,
        )
    launch {
        delay(changeAt)
        for (next in change.next(scene.configuration)) {
            scene.publish(next, fromPeer)
            delay(50.milliseconds)
        }
    }
    // The request is accepted before the change.
    val outcome = scene.run(apiKey = KEY)
    val refused = outcome is Outcome.Refused && silence == Silence.CONNECTING
    if (!refused) {
        outcome.shouldBeInstanceOf<Outcome.Completed>()
        scene.response.body.toString() shouldBe completeBody(kind)
        scene.response.ended shouldBe true
    }
    if (!kind.retryable && silence != Silence.CONNECTING) scene.link.attempts shouldHaveSize 1
    scene.ends shouldHaveSize 1
    scene.inFlight.values.sum() shouldBe 0
}

@OptIn(ExperimentalCoroutinesApi::class)
class SilenceBesideConfigurationTest :
    FunSpec({
        for ((name, kind) in KINDS) {
            for (silence in Silence.entries.filter { kind.mayBeSilentIn(it) }) {
                for (others in ALL_OTHERS) {
                    test("$name is answered beside each change of the configuration, silence: $silence, other back ends: $others") {
                        for (change in Change.entries) {
                            for (at in CHANGE_TIMES) {
                                withClue("$change at $at") {
                                    shouldBeAnswered(kind, silence, PAUSES.last(), others, change, at, fromPeer = false)
                                }
                            }
                            for (pause in PAUSES) {
                                withClue("$change from a peer, silence of $pause") {
                                    shouldBeAnswered(kind, silence, pause, others, change, 700.milliseconds, fromPeer = true)
                                }
                            }
                        }
                    }
                }
            }
        }

        test("requests that wait for a place beside silent ones are answered or refused and not run, whatever changes") {
            for ((name, kind) in KINDS) {
                val silence = if (kind is RequestKind.Stream) Silence.BETWEEN_EVENTS else Silence.BEFORE_HEAD
                for (change in Change.entries) {
                    for (at in CHANGE_TIMES) {
                        withClue("$name, $change at $at") { waitingRequestsShouldEnd(kind, silence, change, at) }
                    }
                }
            }
        }
    })

private fun waitingRequestsShouldEnd(
    kind: RequestKind,
    silence: Silence,
    change: Change,
    changeAt: Duration,
) = runTest {
    val count = 12
    val silent = answer(kind, silence, 1_500.milliseconds)
    val scene = Scene(this, kind, 2, *Array(count) { silent }, backEndIds = listOf("a"), slots = 1, customers = CUSTOMERS)
    val responses = List(count) { FakeResponse() }
    val running = responses.mapIndexed { index, response -> async { scene.run(apiKey = KEY, id = "r$index", to = response) } }
    // The requests are accepted before the change.
    launch {
        delay(changeAt)
        for (next in change.next(scene.configuration)) scene.publish(next)
    }
    running.awaitAll().forEachIndexed { index, outcome ->
        val sent = scene.link.attempts.count { it.caller.request.text == "r$index" }
        when (outcome) {
            is Outcome.Completed -> responses[index].body.toString() shouldBe completeBody(kind)
            is Outcome.Refused -> sent shouldBe 0
            is Outcome.Unknown, is Outcome.Broken -> error("r$index ended as $outcome")
        }
    }
    scene.ends shouldHaveSize count
    scene.inFlight.values.sum() shouldBe 0
}

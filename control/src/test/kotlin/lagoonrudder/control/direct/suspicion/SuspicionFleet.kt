/**
 * Entry daemons before back ends in virtual time. Requests whose parts include a deadly one crash the back end that begins to answer
 * them; daemons learn of that from lost requests and from each other.
 */
package lagoonrudder.control.direct.suspicion

import lagoonrudder.control.direct.FAR
import lagoonrudder.control.direct.LivePeer
import lagoonrudder.control.direct.NEAR
import lagoonrudder.control.direct.PeerController
import lagoonrudder.control.direct.backEnd
import lagoonrudder.control.direct.peer
import lagoonrudder.model.BackEnd
import lagoonrudder.model.PromptPartId
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal const val DEADLY = "deadly"

/** [bornAnew] tells whether a back end returns as a new run of the same id instead of under a new id. */
internal class SuspicionFleet(
    daemonCount: Int,
    backEndCount: Int,
    seed: Int = 1,
    private val bornAnew: Boolean = false,
) {
    private class Event(
        val at: Duration,
        val order: Int,
        val action: () -> Unit,
    )

    private class Daemon(
        index: Int,
        /** The clocks of daemons count from different times. */
        val clockOffset: Duration,
    ) {
        val self = peer("daemon-$index", if (index % 2 == 0) NEAR else FAR)
        val peers = PeerController(self, emptyList())
        val suspicions = SuspicionController(peers)
        var isCut = false
    }

    private class Slot(
        var backEnd: BackEnd,
        var isDown: Boolean = false,
        val inFlight: MutableSet<Sent> = mutableSetOf(),
    )

    private class Sent(
        val daemon: Daemon,
        val parts: Set<PromptPartId>,
        val attempts: Int,
        var isAnswered: Boolean = false,
    )

    /** A request that reached a back end at [at]. */
    class Arrival(
        val at: Duration,
        val parts: Set<String>,
    )

    /** A request that a daemon decided about at [at]. */
    class Decision(
        val at: Duration,
        val parts: Set<String>,
        val verdict: Verdict,
    )

    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event>({ it.at }, { it.order }))
    private var eventCount = 0
    private var startedDaemons = 0
    private val daemons = MutableList(daemonCount) { newDaemon() }
    private val slots = List(backEndCount) { Slot(backEnd("i-$it")) }
    private var replaced = 0

    val arrivals = mutableListOf<Arrival>()
    val decisions = mutableListOf<Decision>()

    /** The times at which back ends crashed on a request. */
    val crashes = mutableListOf<Duration>()

    /** Called with the number of the daemon that sends the first probe. */
    var onFirstProbe: (Int) -> Unit = {}

    var now = Duration.ZERO
        private set

    init {
        every(GOSSIP_INTERVAL) { gossip() }
    }

    private fun newDaemon() = Daemon(startedDaemons, clockOffset = 1_000.seconds * startedDaemons++)

    fun at(
        time: Duration,
        action: () -> Unit,
    ) {
        events += Event(time, eventCount++, action)
    }

    fun every(
        interval: Duration,
        from: Duration = Duration.ZERO,
        action: () -> Unit,
    ) {
        at(from) {
            action()
            every(interval, from + interval, action)
        }
    }

    fun run(until: Duration) {
        while (events.peek().at <= until) {
            val event = events.remove()
            now = event.at
            event.action()
        }
        now = until
    }

    /** A request with [parts] comes to the daemon number [daemon], or to any. */
    fun request(
        vararg parts: String,
        daemon: Int = random.nextInt(daemons.size),
    ) = send(daemons[daemon], parts.mapTo(mutableSetOf()) { PromptPartId(it) }, attempts = 1)

    /** Ends the back ends with these numbers at once, without a request's fault. */
    fun lose(numbers: Iterable<Int>) = numbers.forEach { end(slots[it]) }

    fun cut(
        daemon: Int,
        isCut: Boolean,
    ) {
        daemons[daemon].isCut = isCut
    }

    /** Replaces the daemon with this number by one that knows nothing. */
    fun restart(daemon: Int) {
        daemons[daemon] = newDaemon()
    }

    fun accusedParts(): List<Int> = daemons.map { it.suspicions.accusedParts }

    fun digests(): Set<Long> = daemons.mapTo(mutableSetOf()) { it.suspicions.digest }

    /** The requests with the deadly part that reached back ends later than [contact] after the fifth crash. */
    fun lateArrivals(contact: Duration): Int {
        val since = crashes.sorted().getOrNull(4) ?: return 0
        return arrivals.count { DEADLY in it.parts && it.at > since + contact }
    }

    private fun send(
        daemon: Daemon,
        parts: Set<PromptPartId>,
        attempts: Int,
    ) {
        val clock = now + daemon.clockOffset
        val verdict = daemon.suspicions.verdict(parts, mayHaveRun = attempts > 1, clock)
        val names = parts.mapTo(mutableSetOf()) { it.text }
        if (attempts == 1) decisions += Decision(now, names, verdict)
        if (verdict is Verdict.HeldBack) return
        val slot = slots.filter { !it.isDown }.randomOrNull(random) ?: return
        arrivals += Arrival(now, names)
        val sent = Sent(daemon, parts, attempts)
        slot.inFlight += sent
        if (verdict is Verdict.Probe) {
            daemon.suspicions.onProbeSent(verdict.suspicion, clock)
            onFirstProbe(daemons.indexOf(daemon))
            onFirstProbe = {}
        }
        val run = slot.backEnd.run
        if (PromptPartId(DEADLY) in parts) {
            at(now + CRASH_TIME) { if (slot.backEnd.run == run && !slot.isDown) crash(slot) }
        } else {
            at(now + ANSWER_TIME) { if (sent in slot.inFlight) answer(sent) }
            at(now + SERVICE_TIME) { slot.inFlight -= sent }
        }
    }

    private fun answer(sent: Sent) {
        sent.isAnswered = true
        sent.daemon.suspicions.onAnswered(sent.parts, now + sent.daemon.clockOffset)
    }

    private fun crash(slot: Slot) {
        crashes += now
        end(slot)
    }

    private fun end(slot: Slot) {
        if (slot.isDown) return
        slot.isDown = true
        val lost = slot.inFlight.toList()
        val ended = slot.backEnd
        slot.inFlight.clear()
        for (sent in lost) {
            if (!sent.isAnswered) sent.daemon.suspicions.onCrash(ended, sent.parts, now + sent.daemon.clockOffset)
        }
        for (sent in lost) if (sent.attempts < MAX_ATTEMPTS) send(sent.daemon, sent.parts, sent.attempts + 1)
        at(now + DOWN_TIME) {
            val number = ++replaced
            slot.backEnd = if (bornAnew) backEnd(ended.id.text, born = ended.born + number) else backEnd("i-new-$number")
            slot.isDown = false
        }
    }

    private fun gossip() {
        val joined = daemons.filter { !it.isCut }
        for (daemon in daemons) {
            val clock = now + daemon.clockOffset
            val live = if (daemon.isCut) emptyList() else joined
            daemon.peers.mergeLivePeers(live.map { LivePeer(it.self, Duration.ZERO) }, clock)
            daemon.suspicions.onTick(clock)
        }
        for (sender in joined) {
            for (receiver in joined) {
                if (sender.suspicions.digest == receiver.suspicions.digest) continue
                val report = sender.suspicions.report(now + sender.clockOffset)
                receiver.suspicions.onGossipReceived(report, now + receiver.clockOffset)
            }
        }
    }

    private companion object {
        val GOSSIP_INTERVAL = 100.milliseconds
        val CRASH_TIME = 60.milliseconds
        val ANSWER_TIME = 80.milliseconds
        val SERVICE_TIME = 500.milliseconds
        val DOWN_TIME = 2.seconds
        const val MAX_ATTEMPTS = 2
    }
}

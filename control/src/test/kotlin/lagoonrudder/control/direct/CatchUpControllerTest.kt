/**
 * Guards against a daemon that stays at an old state of the store because a peer hangs, because replies of several peers take each
 * other's bandwidth, or because it relies on peers that don't help.
 */
package lagoonrudder.control.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import lagoonrudder.control.strictInvariants
import lagoonrudder.model.Address
import lagoonrudder.model.StoreRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SERIES = 15
private const val PEERS = 5
private val REQUEST_TIMEOUT = 800.milliseconds

/** Each of the nine others may be ranked before a daemon. */
private val RANKED_DELAY = 150.milliseconds * 9
private val CONFIGURATION_INTERVAL = 300.milliseconds

/** A reply that a peer sends from [begun] on, until all of [left] has arrived over the link of the daemon. */
private class Transfer(
    val peer: Int,
    val begun: Duration,
    val revision: Long,
    var left: Duration,
)

/**
 * A daemon at revision 29 beside a quick series of revisions, at peers that tell every 100 ms what they know. Some of them hang, and the
 * others' replies share a link that is busy for [size] with one of them.
 */
private class SeriesPlay(
    private val hanging: Set<Int>,
    private val size: Duration,
) {
    val storeView = StoreViewController(strictInvariants())
    val catchUp = CatchUpController(storeView)
    private val transfers = mutableListOf<Transfer>()
    private var now = Duration.ZERO
    var maxLag = Duration.ZERO
    var maxTransfers = 0

    fun run(duration: Duration): Long {
        storeView.applyChanges(emptyList(), 29, Duration.ZERO)
        while (now < duration) {
            now += 10.milliseconds
            val revision = 29L + (now / CONFIGURATION_INTERVAL).toLong().coerceAtMost(SERIES.toLong())
            if (now.inWholeMilliseconds % 100 == 0L) (0 until PEERS).forEach { hear(it, revision) }
            move(10.milliseconds)
            maxLag = maxOf(maxLag, catchUp.lag(now))
            maxTransfers = maxOf(maxTransfers, transfers.size)
        }
        return storeView.at.revision.number
    }

    private fun hear(
        peer: Int,
        revision: Long,
    ) {
        catchUp.onHeard(StorePosition.unstated(revision), now)
        if (revision <= storeView.at.revision.number || !catchUp.begin(address(peer), now)) return
        transfers += Transfer(peer, now, revision, size)
    }

    private fun move(step: Duration) {
        val moving = transfers.filter { it.peer !in hanging }
        for (each in moving) {
            each.left -= step / moving.size
            catchUp.onProgress(address(each.peer), now)
        }
        for (done in transfers.filter { it.left <= Duration.ZERO || (it.peer in hanging && now - it.begun >= REQUEST_TIMEOUT) }) {
            transfers -= done
            catchUp.onEnded(address(done.peer))
            if (done.left <= Duration.ZERO) storeView.applySettledChanges(emptyList(), done.revision, now)
        }
    }

    private fun address(peer: Int) = Address("10.0.0.$peer", 1)
}

class CatchUpControllerTest :
    FunSpec({
        val one = Address("10.0.0.1", 1)
        val other = Address("10.0.0.2", 1)

        fun controller() = CatchUpController(StoreViewController(strictInvariants()))

        test("another peer is asked once one has not responded for 250 ms, and none while a response goes on") {
            val catchUp = controller()
            catchUp.begin(one, 1.seconds) shouldBe true
            catchUp.begin(other, 1.2.seconds) shouldBe false
            catchUp.onProgress(one, 1.2.seconds)
            catchUp.begin(other, 1.4.seconds) shouldBe false
            catchUp.begin(other, 1.45.seconds) shouldBe true
            catchUp.begin(one, 3.seconds) shouldBe false
            catchUp.onEnded(one)
            catchUp.begin(one, 3.seconds) shouldBe true
            catchUp.furtherRequests shouldBe 2
        }

        // A daemon that had just started stayed at revision 29 for 5 s while its peers knew later ones.
        test("a daemon follows a quick series of revisions while the peers that it asks first hang") {
            val play = SeriesPlay(hanging = setOf(0, 1), size = 60.milliseconds)
            play.run(8.seconds) shouldBe 29L + SERIES
            play.maxLag shouldBeLessThanOrEqualTo 1.seconds
        }

        test("a reply that takes 1.5 s on a busy link is not slowed down by others") {
            val play = SeriesPlay(hanging = emptySet(), size = 1.5.seconds)
            play.run(8.seconds) shouldBe 29L + SERIES
            play.maxTransfers shouldBe 1
        }

        // Ten daemons of a domain that each fetched a large configuration from another region kept the link full for seconds.
        test("one member of a domain asks another domain, and the next one only if that one does not help") {
            val catchUp = controller()
            catchUp.onHeard(StorePosition.unstated(5), 1.seconds)
            catchUp.mayAskFar(betterRanked = 0, 1.seconds) shouldBe true
            catchUp.mayAskFar(betterRanked = 1, 1.3.seconds) shouldBe false
            catchUp.mayAskFar(betterRanked = 1, 1.4.seconds) shouldBe true
            catchUp.mayAskFar(betterRanked = 3, 1.6.seconds) shouldBe false
            catchUp.mayAskFar(betterRanked = 9, 2.seconds) shouldBe true
        }

        test("a daemon that lags for a second reads the store until it has caught up, whatever its peers know") {
            val peers = PeerController(peer("self"), emptyList())
            val storeView = StoreViewController(strictInvariants())
            storeView.applyChanges(listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1)))), 29, 1.seconds)
            val catchUp = CatchUpController(storeView)
            val reader = StoreReaderController(peers, storeView, catchUp)

            fun mustRead(now: Duration): Boolean {
                (1..9).forEach { peers.onGossipReceived(peer("near-$it"), LoadReport(emptyMap(), 1), 10.milliseconds, now) }
                return reader.mustRead(now)
            }
            catchUp.onHeard(StorePosition.unstated(44), 2.seconds)
            mustRead(2.9.seconds) shouldBe false
            mustRead(3.seconds + RANKED_DELAY) shouldBe true
            storeView.applyChanges(emptyList(), 44, 4.5.seconds)
            mustRead(4.5.seconds) shouldBe false
            // Each revision of a series has its own time.
            for (revision in 45L..60L) {
                val now = 4.5.seconds + 300.milliseconds * (revision - 44).toInt()
                catchUp.onHeard(StorePosition.unstated(revision), now)
                mustRead(now) shouldBe false
                storeView.applySettledChanges(emptyList(), revision - 1, now)
            }
        }

        test("a daemon that has started is confirmed by a state that is not older, or by the newest one while the store is away") {
            val started = 100.seconds

            fun storeView() = StoreViewController(strictInvariants(), startedAt = started)
            val configuration = listOf(item("op/config", 1, StoreRecord.Configuration(servingSet(1))))
            val byPeer = storeView()
            byPeer.onStoreHeard(started)
            byPeer.applySettledChanges(configuration, 29, started + 100.milliseconds)
            byPeer.onUpToDateHeard(StorePosition.unstated(29), started - 1.milliseconds, started + 50.milliseconds)
            byPeer.confirmed shouldBe false
            byPeer.onUpToDateHeard(StorePosition.unstated(28), started + 20.milliseconds, started + 50.milliseconds)
            byPeer.confirmed shouldBe true
            val byStore = storeView()
            byStore.applySnapshot(configuration, 29, started + 100.milliseconds, asOf = started)
            byStore.confirmed shouldBe true
            val inOutage = storeView()
            inOutage.onStoreHeard(started - 5.seconds)
            inOutage.applySettledChanges(configuration, 29, started + 100.milliseconds)
            inOutage.confirmed shouldBe true
            val unknown = storeView()
            unknown.applySettledChanges(configuration, 29, started + 100.milliseconds)
            unknown.confirmed shouldBe false
            // Nobody has heard of the store meanwhile, for example because the peer had been paused in the outage.
            unknown.applySettledChanges(emptyList(), 29, started + 2.2.seconds)
            unknown.confirmed shouldBe true
        }
    })

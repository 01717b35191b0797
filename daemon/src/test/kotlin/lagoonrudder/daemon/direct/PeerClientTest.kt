/**
 * Guards against a reply with all items of the store that never arrives, because it takes longer than a reply without items may.
 */
package lagoonrudder.daemon.direct

import arrow.core.Either
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import lagoonrudder.http.HttpClient
import lagoonrudder.http.HttpEventLoop
import lagoonrudder.model.Address
import lagoonrudder.model.Failure
import lagoonrudder.model.SystemClock
import lagoonrudder.wire.messages.GossipMessage
import lagoonrudder.wire.messages.GossipReply
import lagoonrudder.wire.messages.ItemMessage
import lagoonrudder.wire.messages.PeerMessage
import lagoonrudder.wire.messages.encodeMessage
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val PIECES = 15
private val SELF = PeerMessage("daemon", true, "domain", "region")
private val STATE =
    GossipReply(SELF, at = 44, items = listOf(ItemMessage("op/config", 44, false, ByteArray(200_000))), itemsComplete = true)

/** Sends [STATE] to one peer in pieces that follow each other after [interval]. */
private fun <T> withSlowPeer(
    interval: Duration,
    block: suspend (PeerClient, Address) -> T,
): T =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
        thread(isDaemon = true) {
            runCatching {
                server.accept().use { socket ->
                    val body = encodeMessage(GossipReply.serializer(), STATE)
                    socket.getInputStream().read(ByteArray(8_192))
                    val output = socket.getOutputStream()
                    output.write("HTTP/1.1 200 OK\r\nContent-Length: ${body.size}\r\n\r\n".encodeToByteArray())
                    for (piece in body.asList().chunked(body.size / PIECES + 1)) {
                        output.write(piece.toByteArray())
                        output.flush()
                        Thread.sleep(interval.inWholeMilliseconds)
                    }
                    socket.getInputStream().read()
                }
            }
        }
        HttpEventLoop("test").use { loop ->
            val client = PeerClient(HttpClient(loop, SystemClock()))
            runBlocking { withContext(loop.dispatcher) { block(client, Address("127.0.0.1", server.localPort)) } }
        }
    }

class PeerClientTest :
    FunSpec({
        test("all items arrive over a link on which they take 1.5 s") {
            var parts = 0
            val message = GossipMessage(SELF, at = 29, itemsRequested = true)
            val reply = withSlowPeer(100.milliseconds) { client, address -> client.gossip(address, message) { parts++ } }
            reply
                .getOrNull()
                .shouldNotBeNull()
                .items
                .single()
                .value.size shouldBe 200_000
            parts shouldBeGreaterThan PIECES / 2
        }

        test("a reply without progress, or one without items that takes as long, is given up") {
            val requested = GossipMessage(SELF, at = 29, itemsRequested = true)
            val stalled = withSlowPeer(2_000.milliseconds) { client, address -> client.gossip(address, requested) }
            stalled.shouldBeInstanceOf<Either.Left<Failure>>().value.shouldBeInstanceOf<Failure.TimedOut>()
            val plain = withSlowPeer(100.milliseconds) { client, address -> client.gossip(address, GossipMessage(SELF, at = 29)) }
            plain.shouldBeInstanceOf<Either.Left<Failure>>().value.shouldBeInstanceOf<Failure.TimedOut>()
        }
    })

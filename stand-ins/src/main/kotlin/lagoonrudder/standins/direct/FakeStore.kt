/**
 * A store that can be read and watched, with a history that can be lost and answers that can be refused.
 */
package lagoonrudder.standins.direct

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import lagoonrudder.http.HttpExchange
import lagoonrudder.http.HttpHandler
import lagoonrudder.http.NO_BYTES
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/** Every function runs on the loop's thread. */
class FakeStore : HttpHandler {
    private class Item(
        val revision: Long,
        val value: ByteArray?,
    )

    private val items = sortedMapOf<String, Item>()
    private var revision = 1L
    private var historyFrom = 0L
    private var changed = CompletableDeferred<Unit>()

    /** Whether the store answers every call with 503. */
    var down = false

    /** The number of calls so far. */
    var calls = 0
        private set

    fun put(
        key: String,
        value: String,
    ) = write(key, value.encodeToByteArray())

    fun remove(key: String) = write(key, null)

    /** Forgets the history up to now, so that a watch from before must read again. */
    fun compact() {
        historyFrom = revision
        wake()
    }

    override suspend fun handle(exchange: HttpExchange) {
        calls++
        val query = queryOf(exchange.request.target)
        when {
            down -> exchange.respond(503, emptyList(), NO_BYTES)
            "kv-range" in exchange.request.target -> exchange.json(range(query))
            else -> watch(exchange, query)
        }
    }

    private fun write(
        key: String,
        value: ByteArray?,
    ) {
        revision++
        items[key] = Item(revision, value)
        wake()
    }

    private fun wake() {
        changed.complete(Unit)
        changed = CompletableDeferred()
    }

    private fun range(query: Map<String, String>): JsonObject {
        val from = query["after"].orEmpty()
        val present = items.filter { it.value.value != null && it.key > from }.entries.toList()
        return buildJsonObject {
            putJsonArray("items") { present.take(PAGE).forEach { (key, item) -> add(described(key, item)) } }
            put("hasMore", present.size > PAGE)
            put("at", revision)
        }
    }

    private suspend fun watch(
        exchange: HttpExchange,
        query: Map<String, String>,
    ) {
        val after = query.getValue("after").toLong()
        withTimeoutOrNull(query.getValue("waitMs").toLong().milliseconds) { while (!down && after >= revision) changed.await() }
        if (after < historyFrom) return exchange.respond(410, emptyList(), NO_BYTES)
        val events = items.filter { it.value.revision > after }.entries.sortedBy { it.value.revision }
        exchange.json(
            buildJsonObject {
                putJsonArray("events") { events.forEach { (key, item) -> add(described(key, item)) } }
                put("at", revision)
            },
        )
    }

    private fun described(
        key: String,
        item: Item,
    ) = buildJsonObject {
        put("key", key)
        put("revision", item.revision)
        if (item.value == null) put("deleted", true) else put("value", Base64.getEncoder().encodeToString(item.value))
    }

    private companion object {
        const val PAGE = 3
    }
}

internal suspend fun HttpExchange.json(body: JsonObject) = respond(200, emptyList(), body.toString().encodeToByteArray())

internal fun queryOf(target: String): Map<String, String> =
    target
        .substringAfter('?', "")
        .split('&')
        .filter { '=' in it }
        .associate { it.substringBefore('=') to java.net.URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }

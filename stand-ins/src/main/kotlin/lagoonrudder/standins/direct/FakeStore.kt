/**
 * A fake key-value store that can be read and watched, with a history that can be compacted and failures that can be injected.
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

/** All functions must be called on the thread of the event loop. */
class FakeStore : HttpHandler {
    private class Item(
        val revision: Long,
        val value: ByteArray?,
    )

    private val items = sortedMapOf<String, Item>()
    private var revision = 1L
    private var compactedRevision = 0L
    private var changed = CompletableDeferred<Unit>()

    /** Whether all calls are rejected with status 503. */
    var unavailable = false

    /** The number of calls so far. */
    var calls = 0
        private set

    fun put(
        key: String,
        value: String,
    ) = write(key, value.encodeToByteArray())

    fun remove(key: String) = write(key, null)

    /** Discards the history up to now, so that watches from earlier revisions fail with status 410 and must read again. */
    fun compact() {
        compactedRevision = revision
        notifyWatchers()
    }

    override suspend fun handle(exchange: HttpExchange) {
        calls++
        val query = queryParameters(exchange.request.target)
        when {
            unavailable -> exchange.respond(503, emptyList(), NO_BYTES)
            "kv-range" in exchange.request.target -> exchange.respondJson(range(query))
            else -> watch(exchange, query)
        }
    }

    private fun write(
        key: String,
        value: ByteArray?,
    ) {
        revision++
        items[key] = Item(revision, value)
        notifyWatchers()
    }

    private fun notifyWatchers() {
        changed.complete(Unit)
        changed = CompletableDeferred()
    }

    private fun range(query: Map<String, String>): JsonObject {
        val from = query["after"].orEmpty()
        val present = items.filter { it.value.value != null && it.key > from }.entries.toList()
        return buildJsonObject {
            putJsonArray("items") { present.take(PAGE_SIZE).forEach { (key, item) -> add(itemJson(key, item)) } }
            put("hasMore", present.size > PAGE_SIZE)
            put("at", revision)
        }
    }

    private suspend fun watch(
        exchange: HttpExchange,
        query: Map<String, String>,
    ) {
        val after = query.getValue("after").toLong()
        withTimeoutOrNull(query.getValue("waitMs").toLong().milliseconds) { while (!unavailable && after >= revision) changed.await() }
        if (after < compactedRevision) return exchange.respond(410, emptyList(), NO_BYTES)
        val events = items.filter { it.value.revision > after }.entries.sortedBy { it.value.revision }
        exchange.respondJson(
            buildJsonObject {
                putJsonArray("events") { events.forEach { (key, item) -> add(itemJson(key, item)) } }
                put("at", revision)
            },
        )
    }

    private fun itemJson(
        key: String,
        item: Item,
    ) = buildJsonObject {
        put("key", key)
        put("revision", item.revision)
        if (item.value == null) put("deleted", true) else put("value", Base64.getEncoder().encodeToString(item.value))
    }

    private companion object {
        const val PAGE_SIZE = 3
    }
}

internal suspend fun HttpExchange.respondJson(body: JsonObject) = respond(200, emptyList(), body.toString().encodeToByteArray())

internal fun queryParameters(target: String): Map<String, String> =
    target
        .substringAfter('?', "")
        .split('&')
        .filter { '=' in it }
        .associate { it.substringBefore('=') to java.net.URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }

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
import lagoonrudder.model.HeaderField
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/** All functions must be called on the thread of the event loop. */
class FakeStore : HttpHandler {
    internal class Item(
        val revision: Long,
        val value: ByteArray?,
    )

    /** What the store held at one time, to restore it from. */
    class Copy internal constructor(
        internal val items: Map<String, Item>,
        internal val revision: Long,
    )

    private val items = sortedMapOf<String, Item>()
    private var revision = 1L
    private var compactedRevision = 0L

    /** Stated in all responses once the store was restored. */
    private var era: Long? = null
    private val eraFields get() = listOfNotNull(era?.let { HeaderField("Store-Era", it.toString()) })
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

    fun copy() = Copy(items.toMap(), revision)

    /** Restores the store from [copy], which begins its next era. Watches that wait get nothing until their time is over. */
    fun restore(copy: Copy) {
        era = (era ?: 0) + 1
        items.clear()
        items.putAll(copy.items)
        revision = copy.revision
    }

    override suspend fun handle(exchange: HttpExchange) {
        calls++
        val query = queryParameters(exchange.request.target)
        when {
            unavailable -> exchange.respond(503, eraFields, NO_BYTES)
            "kv-range" in exchange.request.target -> exchange.respondJson(range(query), eraFields)
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
        if (after > revision) return exchange.respond(410, eraFields, NO_BYTES)
        withTimeoutOrNull(query.getValue("waitMs").toLong().milliseconds) { while (!unavailable && after >= revision) changed.await() }
        if (after < compactedRevision) return exchange.respond(410, eraFields, NO_BYTES)
        val events = items.filter { it.value.revision > after }.entries.sortedBy { it.value.revision }
        exchange.respondJson(
            buildJsonObject {
                putJsonArray("events") { events.forEach { (key, item) -> add(itemJson(key, item)) } }
                put("at", revision)
            },
            eraFields,
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

internal suspend fun HttpExchange.respondJson(
    body: JsonObject,
    fields: List<HeaderField> = emptyList(),
) = respond(200, fields, body.toString().encodeToByteArray())

internal fun queryParameters(target: String): Map<String, String> =
    target
        .substringAfter('?', "")
        .split('&')
        .filter { '=' in it }
        .associate { it.substringBefore('=') to java.net.URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }

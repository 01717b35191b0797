/**
 * Logs from which kinds of sources the chunks of a version come, once for each kind that delivers one.
 */
package lagoonrudder.daemon.direct

import lagoonrudder.control.direct.WeightManifest
import lagoonrudder.control.direct.WeightSource
import lagoonrudder.daemon.observe.EventLog
import lagoonrudder.model.ModelId
import lagoonrudder.model.WeightNumber

class ChunkSourceLog(
    private val log: EventLog,
) {
    private val counts = mutableMapOf<Pair<ModelId, WeightNumber>, MutableMap<String, Int>>()

    /** Records that a chunk of [manifest] came from [source]. */
    fun onFetched(
        manifest: WeightManifest,
        source: WeightSource,
    ) {
        val ofVersion = counts.getOrPut(manifest.model to manifest.number) { mutableMapOf() }
        val kind = kindOf(source)
        val isNew = ofVersion.merge(kind, 1, Int::plus) == 1
        if (isNew) {
            val fields = ofVersion.entries.joinToString(",") { (name, count) -> "$name:$count" }
            log.info("chunk-source", "model" to manifest.model.text, "number" to manifest.number.number, "kind" to kind, "chunks" to fields)
        }
        while (counts.size > RETAINED_VERSIONS) counts.remove(counts.keys.first())
    }

    private fun kindOf(source: WeightSource): String =
        when (source) {
            is WeightSource.Entry -> "primary_source"
            is WeightSource.Holder -> "held_by_${source.kind.name.lowercase()}"
            is WeightSource.Origin -> "origin"
        }

    private companion object {
        const val RETAINED_VERSIONS = 4
    }
}

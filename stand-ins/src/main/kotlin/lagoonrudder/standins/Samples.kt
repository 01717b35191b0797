/**
 * The two sample deployments, each with three failure domains in three regions, eight model workers, three instances of an
 * entry application or ledger, one jury office or partner portal, and ten customers.
 */
package lagoonrudder.standins

import lagoonrudder.model.ObjectSet
import lagoonrudder.model.ObjectSetBuilder
import lagoonrudder.model.objectSet
import kotlin.time.Duration.Companion.seconds

/** The names in a sample deployment. The origin is in the first failure domain. */
data class SampleNames(
    val domains: List<String>,
    val model: String,
    val textRoute: String,
    val lookupRoute: String,
    val ledger: String,
    val office: String,
    val customers: List<String>,
)

private const val WEIGHT_BYTES = 2_000_000L
private const val CHUNK_BYTES = 50_000
private const val LINK_BYTES_PER_SECOND = 2_250_000L
private const val WORKERS = 8
private const val LARGE_CUSTOMERS = 2
private const val LARGE_WEIGHT = 3

/** Returns the synthetic weights of [version]. */
fun sampleWeights(version: String) = SyntheticWeights(version, WEIGHT_BYTES, CHUNK_BYTES)

/** Festival Entry Assistant Routing Fleet Tender. */
val festival =
    SampleNames(
        domains = listOf("ost", "west", "sued"),
        model = "entry-assistant",
        textRoute = "dossier",
        lookupRoute = "scoring",
        ledger = "entry-application",
        office = "jury-office",
        customers =
            listOf(
                "mostviertel",
                "lavanttal",
                "weinviertel",
                "hausruck",
                "bucklige-welt",
                "tirol",
                "steiermark",
                "seewinkel",
                "pinzgau",
                "walsertal",
            ),
    )

/** Shared Clamp Analysis Router Fleet, Tadla. */
val tadla =
    SampleNames(
        domains = listOf("tadla", "saiss", "doukkala"),
        model = "clamp-analyst",
        textRoute = "clamp-report",
        lookupRoute = "ration-advice",
        ledger = "feed-ledger",
        office = "partner-portal",
        customers =
            listOf(
                "beni-mellal",
                "fquih-ben-salah",
                "kasba-tadla",
                "meknes",
                "el-hajeb",
                "sefrou",
                "el-jadida",
                "sidi-bennour",
                "azemmour",
                "safi",
            ),
    )

/** Returns the objects of a sample deployment in which [version] replaces [replaces]. */
fun sampleObjects(
    names: SampleNames,
    version: String = "${names.model}-1",
    replaces: String? = null,
): ObjectSet =
    objectSet {
        regionsAndDomains(names)
        names.customers.forEachIndexed { index, name -> customer(name, weight = if (index < LARGE_CUSTOMERS) LARGE_WEIGHT else 1) }
        model(names.model)
        listOfNotNull(replaces, version).forEach { weights(it, names.model) }
        engineFleet("assistant", version, replaces)
        plainFleet(names.ledger)
        plainFleet(names.office)
        targets(names)
        routes(names)
    }

private fun ObjectSetBuilder.regionsAndDomains(names: SampleNames) {
    names.domains.forEachIndexed { index, name ->
        region(name, origin = index == 0)
        domain(name)
    }
    for ((index, first) in names.domains.withIndex()) {
        for (second in names.domains.drop(index + 1)) link(first, second, LINK_BYTES_PER_SECOND)
    }
}

private fun ObjectSetBuilder.weights(
    version: String,
    model: String,
) {
    val weights = sampleWeights(version)
    version(version, model, weights.manifestDigest, weights.bytes, weights.chunkBytes)
}

private fun ObjectSetBuilder.targets(names: SampleNames) {
    repeat(WORKERS) { target("worker-${it + 1}", "assistant", names.domains[it % names.domains.size], weightBytes = WEIGHT_BYTES * 2) }
    names.domains.forEachIndexed { index, domain -> target("${names.ledger}-${index + 1}", names.ledger, domain, requests = 64) }
    target("${names.office}-1", names.office, names.domains.first(), requests = 64)
}

private fun ObjectSetBuilder.routes(names: SampleNames) {
    route(names.textRoute, "/v1/${names.textRoute}", "assistant", deadline = 12.seconds)
    route(names.lookupRoute, "/v1/${names.lookupRoute}", "assistant", deadline = 6.seconds, priority = 2)
    route(names.ledger, "/v1/${names.ledger}", names.ledger, deadline = 5.seconds, idempotent = false, priority = 3)
    route(names.office, "/v1/${names.office}", names.office, deadline = 5.seconds, priority = 2)
}

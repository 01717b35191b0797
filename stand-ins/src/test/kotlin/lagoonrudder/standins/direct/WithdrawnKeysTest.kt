/**
 * Guards against requests that run without a valid key: a configuration whose customers or keys are all gone admits nobody, on
 * whatever way it reaches an entry daemon.
 */
package lagoonrudder.standins.direct

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

private const val NOBODY = ""","tenants":[]"""
private const val WITHOUT_KEYS = ""","tenants":[{"name":"customer","apiKeys":[]}]"""
private const val TWO_CUSTOMERS = ""","tenants":[{"name":"customer","apiKeys":["key","second"]},{"name":"other","apiKeys":["third"]}]"""
private const val SECOND_GONE = ""","tenants":[{"name":"customer","apiKeys":["key"]},{"name":"other","apiKeys":["third"]}]"""
private const val FIRST_GONE = ""","tenants":[{"name":"customer","apiKeys":[]},{"name":"other","apiKeys":["third"]}]"""
private val KEYS = listOf("key", "second", "third", "never-held", null)

/** Expects that each of [KEYS] is admitted by all [entries] entry daemons if it is in [admitted], and gets 401 otherwise. */
private suspend fun DirectSite.shouldAdmit(
    admitted: Set<String?>,
    entries: Int = 2,
) {
    fun expected(key: String?) = if (key in admitted) 200 else 401
    // The daemons take a new configuration within a moment.
    eventually(3.seconds) { (0 until entries).all { entry -> KEYS.all { request(entry, key = it)?.head?.status == expected(it) } } }
    delay(1.seconds)
    for (entry in 0 until entries) {
        for (key in KEYS) withClue("entry $entry, key $key") { request(entry, key = key)?.head?.status shouldBe expected(key) }
    }
}

class WithdrawnKeysTest :
    FunSpec({
        // A configuration without customers was taken for one that asks for no keys.
        test("each key that a configuration takes away is refused, the last one too, and one that returns is admitted") {
            withSite(entries = 2, workers = 2) {
                publish(2, customers = TWO_CUSTOMERS)
                shouldAdmit(setOf("key", "second", "third"))
                publish(3, customers = SECOND_GONE)
                shouldAdmit(setOf("key", "third"))
                publish(4, customers = FIRST_GONE)
                shouldAdmit(setOf("third"))
                publish(5, customers = NOBODY)
                shouldAdmit(emptySet())
                publish(6, customers = TWO_CUSTOMERS)
                shouldAdmit(setOf("key", "second", "third"))
                publish(7, customers = NOBODY)
                shouldAdmit(emptySet())
                publish(8, customers = WITHOUT_KEYS)
                shouldAdmit(emptySet())
            }
        }

        // "If the configuration contains `tenants`, a request carries a key": without that field, none is asked for.
        test("a configuration that does not speak of customers admits everybody") {
            withSite(entries = 1, workers = 1) {
                publish(2, customers = "")
                shouldAdmit(KEYS.toSet(), entries = 1)
                publish(3, customers = NOBODY)
                shouldAdmit(emptySet(), entries = 1)
            }
        }

        test("a configuration without customers stays closed in daemons that learn it from peers while the store is away") {
            withSite(entries = 2, workers = 1) {
                publish(2, customers = NOBODY)
                shouldAdmit(emptySet())
                store.unavailable = true
                restartEntry(1)
                shouldAdmit(emptySet())
                restartEntry(0)
                shouldAdmit(emptySet())
                store.unavailable = false
                shouldAdmit(emptySet())
            }
        }

        test("a configuration without customers that a restored store has lost stays in force") {
            withSite(entries = 2, workers = 1) {
                val copy = store.copy()
                publish(2, customers = NOBODY)
                shouldAdmit(emptySet())
                store.restore(copy)
                delay(4.seconds)
                shouldAdmit(emptySet())
            }
        }
    })

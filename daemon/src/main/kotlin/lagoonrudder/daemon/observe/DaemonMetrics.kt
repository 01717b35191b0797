/**
 * The metrics of a daemon, recorded with Micrometer and rendered in the Prometheus text format.
 */
package lagoonrudder.daemon.observe

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import lagoonrudder.control.ControlThread
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.toJavaDuration

class DaemonMetrics(
    thread: ControlThread,
    invariants: Invariants,
) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    init {
        Gauge.builder("lagoonrudder.control.decisions", thread) { it.usage().decisions.toDouble() }.register(registry)
        Gauge.builder("lagoonrudder.control.busy.seconds", thread) { it.usage().busy.toDouble(DurationUnit.SECONDS) }.register(registry)
        Gauge.builder("lagoonrudder.control.lag.seconds", thread) { it.lag().toDouble(DurationUnit.SECONDS) }.register(registry)
        for (invariant in Invariant.entries) {
            Gauge
                .builder("lagoonrudder.violations", invariants) { it.count(invariant).toDouble() }
                .tag("invariant", invariant.name.lowercase())
                .register(registry)
        }
    }

    /** Records a request that ended after [duration]; [outcome] is the stable name of how. */
    fun recordRequest(
        outcome: String,
        duration: Duration,
    ) = requestTimer(outcome).record(duration.toJavaDuration())

    fun recordFirstEvent(latency: Duration) =
        Timer
            .builder("lagoonrudder.first.event")
            .serviceLevelObjectives(*LATENCY_BUCKETS)
            .register(registry)
            .record(latency.toJavaDuration())

    private fun requestTimer(outcome: String): Timer =
        Timer
            .builder("lagoonrudder.requests")
            .tag("outcome", outcome)
            .serviceLevelObjectives(*LATENCY_BUCKETS)
            .register(registry)

    fun count(
        name: String,
        kind: String,
    ) = registry.counter("lagoonrudder.$name", "kind", kind).increment()

    fun render(): String = registry.scrape()

    private companion object {
        /** Chosen around the latency objectives of requests, from a plain call to a stream under overload. */
        val LATENCY_BUCKETS = listOf(50L, 100, 200, 300, 400, 800, 1_600, 3_200).map { it.milliseconds.toJavaDuration() }.toTypedArray()
    }
}

/**
 * The metrics of a daemon, by Micrometer, in the Prometheus text format.
 */
package lagoonrudder.daemon.observe

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import lagoonrudder.control.ControlThread
import lagoonrudder.model.Invariant
import lagoonrudder.model.Invariants
import lagoonrudder.model.Outcome
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.toJavaDuration

class DaemonMetrics(
    thread: ControlThread,
    invariants: Invariants,
) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    init {
        Gauge.builder("lagoonrudder.control.decisions", thread) { it.work().decisions.toDouble() }.register(registry)
        Gauge.builder("lagoonrudder.control.busy.seconds", thread) { it.work().busy.toDouble(DurationUnit.SECONDS) }.register(registry)
        Gauge.builder("lagoonrudder.control.lag.seconds", thread) { it.lag().toDouble(DurationUnit.SECONDS) }.register(registry)
        for (invariant in Invariant.entries) {
            Gauge
                .builder("lagoonrudder.violations", invariants) { it.count(invariant).toDouble() }
                .tag("invariant", invariant.name.lowercase())
                .register(registry)
        }
    }

    fun requestEnded(
        outcome: Outcome,
        took: Duration,
    ) {
        Timer
            .builder("lagoonrudder.requests")
            .tag("outcome", outcome.code)
            .register(registry)
            .record(took.toJavaDuration())
    }

    fun count(
        name: String,
        kind: String,
    ) = registry.counter("lagoonrudder.$name", "kind", kind).increment()

    fun render(): String = registry.scrape()
}

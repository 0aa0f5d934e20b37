/** The metrics of a daemon in the Prometheus data model. */
package org.hickorytiller.daemon

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Reads a value when the metrics are collected. */
internal typealias ReadGauge = () -> Double

/** Counters and histograms of one process. Confined to the event loop. */
internal class DaemonMetrics {
    private val registry = PrometheusRegistry()
    private val requests =
        counter("hickory_requests_total", "Relayed requests by route and outcome", "route", "outcome")
    private val rejections = counter("hickory_rejections_total", "Requests refused before they were sent", "reason")
    private val failures = counter("hickory_attempt_failures_total", "Failed attempts by reason", "reason")
    private val statementChanges =
        counter("hickory_server_statements_total", "Changes of what servers state about themselves", "change")
    private val firstBytes = histogram("hickory_first_byte_seconds", "Time to the first byte of an answer")
    private val durations = histogram("hickory_request_seconds", "Time to the end of a request")

    fun ended(route: String, outcome: String, tookMs: Long, firstByteMs: Long?) {
        requests.labelValues(route, outcome).inc()
        durations.labelValues(route).observe(tookMs / MS_PER_S)
        if (firstByteMs != null) firstBytes.labelValues(route).observe(firstByteMs / MS_PER_S)
    }

    fun rejected(reason: String) = rejections.labelValues(reason).inc()

    fun attemptFailed(reason: String) = failures.labelValues(reason).inc()

    fun statementChanged(change: String) = statementChanges.labelValues(change).inc()

    /** Registers a value that is read when the metrics are collected. */
    fun gauge(name: String, help: String, read: ReadGauge) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(read()) }.register(registry)
    }

    /** All metrics in the Prometheus text format. */
    fun text(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toByteArray()
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    private fun histogram(name: String, help: String): Histogram = Histogram
        .builder()
        .name(name)
        .help(help)
        .classicOnly()
        .classicUpperBounds(*BOUNDS_S)
        .labelNames("route")
        .register(registry)

    companion object {
        /** Content type of [text]. */
        const val CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
        private const val MS_PER_S = 1000.0
        private val BOUNDS_S = doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.5, 2.0, 4.0, 8.0, 15.0)
    }
}

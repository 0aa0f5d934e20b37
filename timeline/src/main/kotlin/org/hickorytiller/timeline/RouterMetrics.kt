/**
 * The metrics of a router process in the Prometheus data model. Counters and histograms are updated when an event
 * occurs; gauges read the values of other components when the metrics are collected.
 */
package org.hickorytiller.timeline

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Returns the current value of a gauge; called when the metrics are collected. */
typealias ReadGauge = () -> Double

/** Returns the current values of a gauge by label value; called when the metrics are collected. */
typealias ReadGauges = () -> Map<String, Double>

/** Metrics of one router. Confined to the event loop. */
class RouterMetrics {
    private val registry = PrometheusRegistry()

    /** Requests by class and verdict; `answered` stands for a complete response. */
    private val requests = counter("hickory_requests_total", "Requests by class and verdict", "class", "verdict")
    private val retries = counter("hickory_retries_total", "Requests sent again by reason", "reason")
    private val wastedTokens = counter("hickory_wasted_tokens_total", "Tokens that no caller received", "class")
    private val linkFailures = counter("hickory_link_failures_total", "Peer links lost by reason", "reason")
    private val firstTokens =
        Histogram
            .builder()
            .name("hickory_first_token_seconds")
            .help("Time from the arrival of a request to its first token")
            .classicOnly()
            .classicUpperBounds(*FIRST_TOKEN_BOUNDS_S)
            .labelNames("class")
            .register(registry)

    /** Counts a request that has ended. [verdict] is the code of a verdict or `answered`. */
    fun requestEnded(requestClass: String, verdict: String) = requests.labelValues(requestClass, verdict).inc()

    /** Records the time to the first token of a request. */
    fun firstToken(requestClass: String, elapsedMs: Long) =
        firstTokens.labelValues(requestClass).observe(elapsedMs / MS_PER_S)

    /** Counts a retry of a request. */
    fun requestRetried(reason: String) = retries.labelValues(reason).inc()

    /** Counts generated [tokens] that no caller received. */
    fun tokensWasted(requestClass: String, tokens: Long) = wastedTokens.labelValues(requestClass).inc(tokens.toDouble())

    /** Counts a lost peer link. */
    fun linkFailed(reason: String) = linkFailures.labelValues(reason).inc()

    /** Registers a gauge whose value is read when the metrics are collected. */
    fun gauge(name: String, help: String, read: ReadGauge) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(read()) }.register(registry)
    }

    /** Registers a gauge with one [label] whose values are read when the metrics are collected. */
    fun gauges(name: String, help: String, label: String, read: ReadGauges) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .labelNames(label)
            .callback { callback -> read().forEach { (value, number) -> callback.call(number, value) } }
            .register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun text(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toByteArray()
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    companion object {
        /** Content type of [text]. */
        const val CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

        private const val MS_PER_S = 1000.0

        // The bounds are closest around 1.5 s, the long-term target for the time to the first token.
        private val FIRST_TOKEN_BOUNDS_S =
            doubleArrayOf(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0)
    }
}

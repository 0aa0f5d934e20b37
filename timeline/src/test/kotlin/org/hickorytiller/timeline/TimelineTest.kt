package org.hickorytiller.timeline

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.StreamName
import kotlin.random.Random

class TimelineTest : AnnotationSpec() {
    private fun event(process: String, sequence: Long, wall: Long, offset: Long? = null, stream: String = "leases") = TimelineEvent(
        HostId(process),
        ProcessId(process),
        sequence,
        wall,
        EventKind.LEASE_GAINED,
        "$process-$sequence",
        offset?.let { LogPosition(StreamName(stream), LogOffset(it)) },
    )

    private data class Case(val fault: String, val timelines: List<List<TimelineEvent>>, val merged: List<String>)

    @Test
    fun `merges causes before effects despite differing clocks, repeated offsets and duplicate events`() {
        listOf(
            Case(
                "a clock that is ahead by a minute",
                listOf(listOf(event("a", 1, 60_000, offset = 4)), listOf(event("b", 1, 10, offset = 5))),
                listOf("a-1", "b-1"),
            ),
            Case(
                "a wall clock that steps back within a process",
                listOf(listOf(event("a", 1, 500), event("a", 2, 100)), listOf(event("b", 1, 300))),
                listOf("b-1", "a-1", "a-2"),
            ),
            Case(
                "the same offset in two processes",
                listOf(listOf(event("a", 1, 20, offset = 4)), listOf(event("b", 1, 10, offset = 4), event("b", 2, 15, offset = 5))),
                listOf("b-1", "a-1", "b-2"),
            ),
            Case(
                "the same offset in two streams",
                listOf(listOf(event("a", 1, 20, offset = 4)), listOf(event("b", 1, 10, offset = 9, stream = "orders"))),
                listOf("b-1", "a-1"),
            ),
            Case(
                "a stream that a process reads again",
                listOf(listOf(event("a", 1, 1, offset = 5), event("a", 2, 2, offset = 3))),
                listOf("a-1", "a-2"),
            ),
            Case(
                "a timeline that was fetched twice",
                listOf(listOf(event("a", 1, 1)), listOf(event("a", 1, 1), event("a", 2, 2))),
                listOf("a-1", "a-2"),
            ),
        ).forAll { case -> mergeTimelines(case.timelines).map { it.detail } shouldContainExactly case.merged }
    }

    @Test
    fun `merge keeps all events and the order within each process and stream for any clocks`() {
        val seed = System.getProperty("seed")?.toLong() ?: 20_261_204L
        println("seed $seed")
        val random = Random(seed)
        repeat(300) {
            val timelines =
                List(random.nextInt(1, 5)) { process ->
                    val offsets = List(8) { random.nextLong(0, 12) }.sorted()
                    List(8) { index ->
                        event("p$process", index + 1L, random.nextLong(0, 50), offsets[index].takeIf { random.nextBoolean() })
                    }
                }
            val merged = mergeTimelines(timelines)
            merged shouldContainExactlyInAnyOrder timelines.flatten()
            merged.groupBy { it.process }.values.forAll { events -> events.map { it.sequence } shouldBe events.map { it.sequence }.sorted() }
            merged.mapNotNull { it.position?.offset?.value }.let { it shouldBe it.sorted() }
        }
    }

    @Test
    fun `timeline keeps the newest events up to its capacity and truncates details`() {
        val timeline = Timeline(HostId("h"), ProcessId("p"), capacity = 3) { 7 }
        repeat(10) { timeline.record(EventKind.KEY_WITHDRAWN, "x".repeat(2_000)) }
        timeline.since().map { it.sequence } shouldContainExactly listOf(8, 9, 10)
        timeline.since(after = 9).map { it.sequence } shouldContainExactly listOf(10)
        timeline.since().maxOf { it.detail.length.toLong() } shouldBeLessThan 501
    }

    @Test
    fun `exposes metrics in the Prometheus text format`() {
        val metrics = RouterMetrics()
        metrics.requestEnded("reports", "answered")
        metrics.firstToken("reports", 1_200)
        metrics.gauges("hickory_queue_length", "Waiting requests by pool", "pool") { mapOf("chat" to 3.0) }
        metrics.gauge("hickory_members", "Members that are alive") { 8.0 }
        val text = String(metrics.text())
        listOf(
            "hickory_requests_total{class=\"reports\",verdict=\"answered\"} 1.0",
            "hickory_first_token_seconds_bucket{class=\"reports\",le=\"1.5\"} 1",
            "hickory_first_token_seconds_bucket{class=\"reports\",le=\"1.0\"} 0",
            "hickory_queue_length{pool=\"chat\"} 3.0",
            "hickory_members 8.0",
        ).forAll { text shouldContain it }
    }
}

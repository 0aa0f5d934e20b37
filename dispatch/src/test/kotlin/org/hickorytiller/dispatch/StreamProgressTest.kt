package org.hickorytiller.dispatch

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import org.hickorytiller.http.EventParser
import org.hickorytiller.http.EventTooLargeException
import org.hickorytiller.http.ServerSentEvent
import kotlin.random.Random

class StreamProgressTest : AnnotationSpec() {
    private fun token(text: String, finish: String? = null) = """{"choices":[{"index":0,"delta":{"content":"$text"},"finish_reason":${finish?.let { "\"$it\"" }}}]}"""

    private val role = """{"choices":[{"index":0,"delta":{"role":"assistant","content":""}}]}"""

    private fun responseStream(tokens: Int, from: Int, lineEnding: String): String {
        val parts = listOf(role) + (from until tokens).map { token("t$it ", if (it == tokens - 1) "stop" else null) } + "[DONE]"
        return parts.joinToString("") { "data: $it$lineEnding$lineEnding" }
    }

    @Test
    fun `parsed events do not depend on how the bytes are split`() {
        listOf("\n", "\r\n", "\r").forAll { lineEnding ->
            val bytes = (": comment$lineEnding$lineEnding" + responseStream(5, 0, lineEnding)).toByteArray()
            (1L..40L).toList().forAll { seed ->
                val random = Random(seed)
                val parser = EventParser()
                val events = mutableListOf<ServerSentEvent>()
                var at = 0
                while (at < bytes.size) {
                    val next = minOf(bytes.size, at + random.nextInt(1, 30))
                    events += parser.feed(bytes.copyOfRange(at, next))
                    at = next
                }
                events.filter { it.data.isNotEmpty() }.map { it.data } shouldBe
                    listOf(role) + (0 until 5).map { token("t$it ", if (it == 4) "stop" else null) } + "[DONE]"
                parser.bufferedBytes shouldBe 0
            }
        }
    }

    @Test
    fun `an event without end is rejected at the size limit`() {
        val parser = EventParser(maxEventBytes = 100)
        shouldThrow<EventTooLargeException> { repeat(20) { parser.feed("data: xxxxxxxx".toByteArray()) } }
    }

    @Test
    fun `data that cannot be parsed has no tokens`() {
        listOf("", "[]", "{", "null", "17", """{"choices":17}""", """{"choices":[{"delta":[]}]}""").forAll {
            parseCompletionEvent(it).tokens shouldBe 0
        }
    }

    /** Cuts a response at random bytes and resumes it; returns the data of the relayed events. */
    private fun relayWithCuts(seed: Long, resumeAt: (StreamProgress) -> Int): List<String> {
        val random = Random(seed)
        val progress = StreamProgress()
        val relayed = mutableListOf<String>()
        while (!progress.isDone) {
            progress.resume()
            val bytes = responseStream(12, resumeAt(progress), "\n").toByteArray()
            val cut = if (random.nextInt(4) == 0) bytes.size else random.nextInt(bytes.size)
            EventParser().feed(bytes.copyOf(cut)).forEach {
                if (progress.accept(parseCompletionEvent(it.data))) relayed += it.data
            }
        }
        return relayed
    }

    private val expected = listOf(role) + (0 until 12).map { token("t$it ", if (it == 11) "stop" else null) } + "[DONE]"

    @Test
    fun `a resumed response neither loses nor repeats tokens`() {
        (1L..500L).toList().forAll { seed -> relayWithCuts(seed) { it.tokens } shouldBe expected }
    }

    @Test
    fun `resuming one token too early changes the relayed events`() {
        val seeds = (1L..500L).filter { seed -> relayWithCuts(seed) { if (it.tokens > 0) it.tokens - 1 else 0 } != expected }
        println("wrong resume offset found first at seed ${seeds.first()}")
        seeds.isEmpty() shouldBe false
    }
}

package org.hickorytiller.mesh

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.StreamName
import org.hickorytiller.core.parseTree

class TopicRecordsTest : AnnotationSpec() {
    private fun records(vararg sizes: Int) = TopicRecords(StreamName("t"), LogOffset(7), sizes.map { TopicRecord("k", ByteArray(it - 1)) })

    private fun TopicRecords.span() = from.value until from.value + records.size

    @Test
    fun `records arrive unchanged, and a deleted key without a value`() {
        val sent = TopicRecords(StreamName("t"), LogOffset(7), listOf(TopicRecord("a", byteArrayOf(1, 2)), TopicRecord("b", null)))
        val received = decodeTopicRecords(parseTree(encodeTopicRecords(sent))!!)!!
        received.topic shouldBe sent.topic
        received.from shouldBe sent.from
        received.records.map { it.key to it.value?.toList() } shouldContainExactly listOf("a" to listOf<Byte>(1, 2), "b" to null)
    }

    @Test
    fun `each message keeps to the limit and names the offset of its first record`() {
        records(40, 40, 40).divide(maxBytes = 100).map { it.span() } shouldContainExactly listOf(7L..8L, 9L..9L)
        records(40, 200, 40).divide(maxBytes = 100).map { it.span() } shouldContainExactly listOf(7L..7L, 9L..9L)
        records(200).divide(maxBytes = 100) shouldBe emptyList()
    }

    // A receiver must not end its task on a datagram that any process may send.
    @Test
    fun `a message with an invalid part is dropped`() {
        listOf(
            "",
            "[]",
            "7",
            "{}",
            """{"topic":"t","records":[]}""",
            """{"topic":"t","from":"x","records":[]}""",
            """{"topic":"t","from":1,"records":[["k",7]]}""",
            """{"topic":"t","from":1,"records":[["k","%"]]}""",
            """{"topic":"t","from":1,"records":[{}]}""",
        ).forAll { text -> parseTree(text.toByteArray())?.let(::decodeTopicRecords) shouldBe null }
    }
}

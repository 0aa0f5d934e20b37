package org.hickorytiller.configuration

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.hickorytiller.keys.hashKey

class RecordCodecTest : AnnotationSpec() {
    private val hash = hashKey("k").value

    @Test
    fun `a decoded record equals the encoded one`() {
        listOf(
            SectionProposed("p", "customers", 3, "operator", "[customers.a]\n", listOf("b"), 1, 2),
            KeyGranted("clinic", hash, "desk"),
            KeyWithdrawn(hash),
            Snapshot("s", 0, 1, 7, "AA==", "00"),
        ).forAll { decodeConfigurationRecord(encodeConfigurationRecord(it)) shouldBe DecodedRecord.Valid(it) }
    }

    @Test
    fun `malformed and oversized records decode as malformed`() {
        val large = "{\"type\":\"KeyWithdrawn\",\"schema\":1,\"keyHash\":\"$hash\",\"x\":\"${"x".repeat(MAX_RECORD_BYTES)}\"}"
        listOf(
            "", " ", "null", "3", "[]", "{}", "{", "\"text\"", "{\"schema\":null}", "{\"schema\":\"1\"}", "{\"schema\":1}",
            "{\"schema\":1.5,\"type\":\"KeyWithdrawn\"}", "{\"schema\":1,\"type\":\"Other\"}", "{\"schema\":1,\"type\":7}",
            "{\"type\":\"KeyWithdrawn\",\"schema\":1}", "{\"type\":\"KeyWithdrawn\",\"schema\":1,\"keyHash\":\"short\"}",
            "{\"type\":\"KeyWithdrawn\",\"schema\":1,\"keyHash\":[\"$hash\"]}", "{\"type\":\"KeyWithdrawn\",\"schema\":1,\"keyHash\":null}",
            "{\"type\":\"KeyGranted\",\"schema\":1,\"keyHash\":\"$hash\",\"customer\":\"c\",\"label\":\"${"l".repeat(201)}\"}",
            "{\"type\":\"SectionProposed\",\"schema\":1,\"proposalId\":\"p\",\"section\":\"customers\",\"author\":\"a\",\"content\":\"\"}".replace("\"author\"", "\"baseOffset\":\"x\",\"author\""),
            "{\"type\":\"SectionProposed\",\"schema\":1,\"proposalId\":\"\",\"section\":\"customers\",\"baseOffset\":1,\"author\":\"a\",\"content\":\"\"}",
            "{\"type\":\"SectionProposed\",\"schema\":1,\"proposalId\":\"p\",\"section\":\"customers\",\"baseOffset\":1,\"author\":\"a\",\"content\":\"\",\"part\":2,\"parts\":2}",
            "{\"type\":\"Snapshot\",\"schema\":1,\"snapshotId\":\"s\",\"part\":0,\"parts\":100000,\"throughOffset\":1,\"state\":\"\",\"stateHash\":\"\"}",
            "[".repeat(100_000), large,
        ).forAll { decodeConfigurationRecord(it.toByteArray()).shouldBeInstanceOf<DecodedRecord.Malformed>() }
        listOf(byteArrayOf(0, 0, 0, -1), byteArrayOf(-2, -1, 0), byteArrayOf(0, 0, -2, -1, 127, 127, 127, 127), ByteArray(64) { -1 }).forAll {
            decodeConfigurationRecord(it).shouldBeInstanceOf<DecodedRecord.Malformed>()
        }
    }

    @Test
    fun `a record with another schema decodes as an unknown schema`() {
        listOf("{\"schema\":2}", "{\"schema\":2,\"type\":\"KeyWithdrawn\",\"keyHash\":\"$hash\"}", "{\"schema\":0,\"type\":\"New\"}").forAll {
            decodeConfigurationRecord(it.toByteArray()).shouldBeInstanceOf<DecodedRecord.UnknownSchema>()
        }
    }
}

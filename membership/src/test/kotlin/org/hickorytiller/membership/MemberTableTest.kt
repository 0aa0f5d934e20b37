package org.hickorytiller.membership

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.MemberRole
import org.hickorytiller.peering.MemberState
import org.hickorytiller.peering.MemberState.ALIVE
import org.hickorytiller.peering.MemberState.DEAD
import org.hickorytiller.peering.MemberState.LEAVING
import kotlin.random.Random

internal fun member(
    host: String,
    incarnation: Long = 1,
    version: Long = 0,
    state: MemberState = ALIVE,
    role: MemberRole = MemberRole.ROUTER,
    process: String = "$host-$incarnation",
) = MemberRecord(
    MemberId(HostId(host), role),
    ProcessId(process),
    FailureDomain("zone-a"),
    incarnation,
    version,
    state,
    peerAddress = if (role == MemberRole.ROUTER) "10.0.0.${host.hashCode() and 0xff}:${1 + (host.hashCode() and 0x7fff)}" else "",
    callerAddress = if (role == MemberRole.ROUTER) "10.1.0.${host.hashCode() and 0xff}:${1 + (host.hashCode() and 0x7fff)}" else "",
)

internal fun printedSeed(): Long = (System.getProperty("seed")?.toLong() ?: 20_261_204L).also { println("seed $it") }

class MemberTableTest : AnnotationSpec() {
    private val now = TimeMs(1_000)

    private data class Case(val description: String, val records: List<MemberRecord>, val state: MemberState?, val incarnation: Long)

    @Test
    fun `an outdated record does not replace a newer one`() {
        listOf(
            Case("alive after dead of the same run", listOf(member("b", state = DEAD), member("b", version = 9)), DEAD, 1),
            Case("alive after leaving of the same run", listOf(member("b", 1, 2, LEAVING), member("b", 1, 3)), LEAVING, 1),
            Case("dead of an older run after the restart", listOf(member("b", 5), member("b", 4, 9, DEAD)), ALIVE, 5),
            Case("restart after death", listOf(member("b", 4, state = DEAD), member("b", 5)), ALIVE, 5),
            Case("leaving of an older run after the restart", listOf(member("b", 5), member("b", 4, 1, LEAVING)), ALIVE, 5),
            Case("the same record twice", listOf(member("b", 5), member("b", 5)), ALIVE, 5),
        ).forAll { case ->
            val table = MemberTable(member("a"))
            case.records.forEach { table.merge(it, now) }
            table[case.records.first().id]?.state shouldBe case.state
            table[case.records.first().id]?.incarnation shouldBe case.incarnation
        }
    }

    @Test
    fun `tables do not depend on the order or the repetition of updates`() {
        val random = Random(printedSeed())
        repeat(300) {
            val records = List(random.nextInt(1, 30)) { randomRecord(random) }
            val once = MemberTable(member("a")).also { table -> records.forEach { table.merge(it, now) } }
            val shuffled = MemberTable(member("a"))
            (records + records.shuffled(random)).shuffled(random).forEach { shuffled.merge(it, now) }
            shuffled.records().toSet() shouldBe once.records().toSet()
            shuffled.digest shouldBe once.digest
        }
    }

    @Test
    fun `an older incarnation never replaces a newer one`() {
        val random = Random(printedSeed())
        repeat(300) { countIncarnationRegressions(recordOrder, random) shouldBe 0 }
    }

    @Test
    fun `an older incarnation replaces a newer one if incarnations are not compared`() {
        val random = Random(printedSeed())
        val byVersionOnly = compareBy<MemberRecord>({ it.version }, { it.process.value })
        (0 until 300).sumOf { countIncarnationRegressions(byVersionOnly, random) } shouldNotBe 0
    }

    @Test
    fun `a live process refutes records of its death or of another process run`() {
        val localRecord = member("a", incarnation = 10, process = "a-run-2")
        listOf(
            Triple("a wrong declaration of its death", localRecord.copy(state = DEAD), 11L),
            Triple("an older run", localRecord.copy(incarnation = 9, state = DEAD, process = ProcessId("a-run-1")), 10L),
            Triple("a run of a host whose clock was ahead", localRecord.copy(incarnation = 50, process = ProcessId("a-run-1")), 51L),
        ).forAll { (_, record, incarnation) ->
            val table = MemberTable(localRecord)
            table.merge(record, now, canTakeOverIdentity = true)
            table.localRecord.incarnation shouldBe incarnation
            table.localRecord.state shouldBe ALIVE
            table[localRecord.id] shouldBe table.localRecord
        }
    }

    @Test
    fun `two processes of the same identity do not raise their incarnations without end`() {
        val localRecord = member("a", incarnation = 10, process = "a-run-1")
        val table = MemberTable(localRecord)
        table.merge(localRecord.copy(incarnation = 11, process = ProcessId("a-run-2")), now, canTakeOverIdentity = false) shouldBe MergeResult.STALE
        table.localRecord.incarnation shouldBe 10
        table.isSuperseded shouldBe true
    }

    @Test
    fun `a leaving process stays leaving after it refutes its death`() {
        val table = MemberTable(member("a", incarnation = 10))
        table.announce(LEAVING, now)
        table.merge(table.localRecord.copy(state = DEAD), now)
        table.localRecord.state shouldBe LEAVING
        table.announce(DEAD, now)
        table.merge(table.localRecord.copy(version = 99), now) shouldBe MergeResult.STALE
        table.localRecord.state shouldBe DEAD
    }

    @Test
    fun `dead members are removed after the retention time`() {
        val table = MemberTable(member("a"))
        table.merge(member("b", state = DEAD), TimeMs(0))
        table.merge(member("c"), TimeMs(0))
        table.removeDead(TimeMs(1)).map { it.id.host.value } shouldBe listOf("b")
        table.records().map { it.id.host.value }.toSet() shouldBe setOf("a", "c")
    }

    /** Returns how often the table holds an older incarnation than the newest one merged. */
    private fun countIncarnationRegressions(order: Comparator<MemberRecord>, random: Random): Int {
        val table = MemberTable(member("a"), order) { _, _ -> }
        var newest = 0L
        var found = 0
        repeat(20) {
            val record = randomRecord(random).copy(id = member("b").id)
            table.merge(record, now)
            newest = maxOf(newest, record.incarnation)
            if (table[record.id]!!.incarnation < newest) found++
        }
        return found
    }

    private fun randomRecord(random: Random) = member(
        "h${random.nextInt(4)}",
        random.nextLong(1, 4),
        random.nextLong(0, 4),
        MemberState.entries.random(random),
        process = "p${random.nextInt(2)}",
    )
}

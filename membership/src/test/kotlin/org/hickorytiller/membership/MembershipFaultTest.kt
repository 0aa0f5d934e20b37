package org.hickorytiller.membership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberRole
import org.hickorytiller.peering.MemberState

class MembershipFaultTest : AnnotationSpec() {
    @Test
    fun `guards against sides of a partition that never find each other again`() {
        val seed = printedSeed()
        listOf(2 to 1, 3 to 1, 8 to 4, 8 to 1, 45 to 20).forAll { (count, side) ->
            withClue("$count members, $side on one side") {
                val members = VirtualMembers(seed)
                members.settle(count)
                val (left, right) = members.nodes.take(side) to members.nodes.drop(side)
                members.blocked = { from, to -> (from in left) != (to in right).not() }
                members.run(30_000)
                withClue("a side keeps its own members") {
                    left.forAll { it.liveMembers() shouldContainExactlyInAnyOrder left.map { other -> other.id } }
                    right.forAll { it.liveMembers() shouldContainExactlyInAnyOrder right.map { other -> other.id } }
                }
                members.blocked = { _, _ -> false }
                val healed = members.timeUntil(20_000) { members.nodes.all { it.table.liveMembers().size == count } }
                println("FIG partition $side of $count healed after $healed ms")
                healed.shouldNotBeNull() shouldBeLessThanOrEqual 12_000
                members.run(3_000)
                members.nodes.map { it.table.digest }.toSet().size shouldBe 1
            }
        }
    }

    @Test
    fun `guards against a live member declared dead because one neighbour does not hear it`() {
        oneSidedSilence(witnesses = null) shouldBe 0
    }

    @Test
    fun `shows that one deaf neighbour is enough for a death without the second witness`() {
        oneSidedSilence(witnesses = { 1 }) shouldNotBe 0
    }

    @Test
    fun `guards against a member that fails and stays alive in the tables of others`() {
        val seed = printedSeed()
        listOf(2 to 1, 3 to 1, 3 to 2, 8 to 1, 8 to 7, 45 to 10).forAll { (count, crashes) ->
            withClue("$crashes of $count crash at once") {
                val members = VirtualMembers(seed)
                members.settle(count)
                members.nodes.take(crashes).forEach { it.crashed = true }
                val survivors = members.working().map { it.id }
                val found = members.timeUntil(30_000) { members.working().all { it.liveMembers() == survivors.toSet() } }
                // The only survivor of three or more has no second witness and waits for the isolation time.
                found.shouldNotBeNull() shouldBeLessThan if (count - crashes == 1 && count > 2) 13_000 else 4_000
            }
        }
    }

    @Test
    fun `guards against a paused process that declares its neighbours dead when it goes on`() {
        val members = VirtualMembers(printedSeed())
        members.settle(8)
        val paused = members.nodes.first()
        paused.paused = true
        members.run(5_000)
        members.nodes.drop(1).forAll { it.knows(paused.id, MemberState.DEAD) shouldBe true }
        paused.paused = false
        val deaths = HashSet<String>()
        val back = members.timeUntil(10_000) {
            members.nodes.drop(1).forEach { node -> members.nodes.filter { node.knows(it.id, MemberState.DEAD) && it !== paused }.forEach { deaths += it.id.toString() } }
            members.nodes.all { it.table.liveMembers().size == 8 }
        }
        back.shouldNotBeNull()
        deaths shouldBe emptySet()
    }

    @Test
    fun `guards against a restarted process that others keep in its old run`() {
        val members = VirtualMembers(printedSeed())
        members.settle(8)
        val old = members.nodes.last()
        old.crashed = true
        members.nodes.remove(old)
        val restarted = members.add(members.uniqueMember(7, incarnation = 1_764_000_009_000L), old.contacts)
        val known = members.timeUntil(5_000) { members.nodes.all { it.table[old.id]?.incarnation == restarted.table.own.incarnation } }
        known.shouldNotBeNull() shouldBeLessThanOrEqual 2_000
    }

    @Test
    fun `guards against a restarted process whose clock stepped back and that nobody accepts`() {
        val members = VirtualMembers(printedSeed())
        members.settle(8)
        val old = members.nodes.last()
        old.crashed = true
        members.nodes.remove(old)
        val restarted = members.add(members.uniqueMember(7, incarnation = 1_763_000_000_000L), old.contacts)
        members.timeUntil(10_000) { members.nodes.all { it.knows(old.id, MemberState.ALIVE) && it.table.liveMembers().size == 8 } }.shouldNotBeNull()
        restarted.table.own.incarnation shouldBe members.nodes.first().table[old.id]!!.incarnation
    }

    @Test
    fun `guards against lost messages that leave tables apart for ever`() {
        val members = VirtualMembers(printedSeed())
        members.settle(45)
        members.lossShare = 0.3
        members.nodes.take(10).forEach { it.membership.announce(MemberState.LEAVING, members.now) }
        members.run(3_000)
        members.lossShare = 0.0
        members.timeUntil(25_000) { members.nodes.map { it.table.digest }.toSet().size == 1 }.shouldNotBeNull()
        members.nodes.forAll { node -> members.nodes.take(10).forAll { node.knows(it.id, MemberState.LEAVING) shouldBe true } }
    }

    @Test
    fun `guards against a stale host list that decides who is alive`() {
        val members = VirtualMembers(printedSeed())
        val records = List(8) { members.uniqueMember(it) }
        val dead = List(4) { members.uniqueMember(100 + it) }
        val stale = (dead + records.take(1)).map { Contact(it.id.host, it.peerAddress) }
        records.forEach { members.add(it, stale) }
        members.timeUntil(20_000) { members.nodes.all { it.table.liveMembers().size == 8 } }.shouldNotBeNull()
        members.nodes.forAll { node -> dead.forAll { node.table[it.id] shouldBe null } }
        members.nodes.last().crashed = true
        members.timeUntil(4_000) { members.working().all { it.knows(members.nodes.last().id, MemberState.DEAD) } }.shouldNotBeNull()
    }

    @Test
    fun `guards against choices of neighbours that differ between processes or from a computation from scratch`() {
        val random = kotlin.random.Random(printedSeed())
        val limits = MembershipLimits()
        val grown = PeerTopology(limits)
        val table = MemberTable(member("a"))
        repeat(200) { round ->
            val role = if (random.nextInt(4) == 0) MemberRole.CONTROLLER else MemberRole.ROUTER
            val state = if (random.nextInt(3) == 0) MemberState.DEAD else MemberState.ALIVE
            table.merge(member("h${random.nextInt(40)}", incarnation = round + 1L, state = state, role = role), TimeMs(0))
            grown.refresh(table)
            val fresh = PeerTopology(limits).also { it.refresh(table) }
            table.liveMembers().forAll { member ->
                grown.outboundPeers(member.id) shouldBe fresh.outboundPeers(member.id)
                grown.neighboursOf(member.id) shouldBe fresh.neighboursOf(member.id)
            }
        }
    }

    @Test
    fun `guards against member state that outgrows the memory of a process`() {
        val table = MemberTable(member("a"))
        val count = 20_000
        val before = usedBytes()
        repeat(count) { table.merge(member("host-$it"), TimeMs(0)) }
        val perRecord = (usedBytes() - before) / count
        println("FIG memory per member record $perRecord bytes")
        table.records().size shouldBe count + 1
        perRecord shouldBeLessThan 2_000
    }

    /** Number of deaths that are declared while one member does not hear another one that the rest does hear. */
    private fun oneSidedSilence(witnesses: RequiredWitnesses?): Int {
        val members = VirtualMembers(printedSeed(), witnesses = witnesses)
        members.settle(8)
        val (deaf, silent) = members.nodes[2] to members.nodes[5]
        members.blocked = { from, to -> from === silent && to === deaf }
        var deaths = 0
        repeat(150) {
            members.run(100)
            deaths += members.nodes.count { it.knows(silent.id, MemberState.DEAD) }
        }
        return deaths
    }

    private fun usedBytes(): Long {
        repeat(3) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }
}

class AddressAnswerTest : AnnotationSpec() {
    private val loads = mapOf("h1" to 900, "h2" to 100, "h3" to 120)

    private fun answer(members: List<org.hickorytiller.peering.MemberRecord>, domain: String?, turn: Long = 0) = findAddresses(
        members,
        domain?.let { org.hickorytiller.core.FailureDomain(it) },
        { loads[it.value] },
        10_000,
        turn,
    ).addresses

    private fun at(host: String, domain: String, state: MemberState = MemberState.ALIVE, role: MemberRole = MemberRole.ROUTER) = member(host, state = state, role = role).copy(failureDomain = org.hickorytiller.core.FailureDomain(domain), callerAddress = if (role == MemberRole.ROUTER) "10.0.0.1:${host.drop(1)}" else "")

    @Test
    fun `guards against callers sent to leaving or dead hosts, to the far domain or to the loaded host`() {
        val all = listOf(
            at("h1", "zone-a"),
            at("h2", "zone-b"),
            at("h3", "zone-a"),
            at("h4", "zone-a", MemberState.LEAVING),
            at("h5", "zone-a", MemberState.DEAD),
            at("h6", "zone-a", role = MemberRole.CONTROLLER),
        )
        answer(all, "zone-a") shouldBe listOf("10.0.0.1:3", "10.0.0.1:1", "10.0.0.1:2")
        answer(all, "zone-b").first() shouldBe "10.0.0.1:2"
        answer(all, null).last() shouldBe "10.0.0.1:1"
    }

    @Test
    fun `guards against all callers of one moment on one host`() {
        val many = List(20) { at("h${10 + it}", "zone-a") }
        (0L until 50).map { answer(many, "zone-a", it).first() }.toSet().size.toLong() shouldNotBe 1L
        answer(many, "zone-a").size shouldBe 8
    }
}

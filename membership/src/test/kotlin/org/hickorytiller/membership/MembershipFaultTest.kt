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
    fun `the sides of a partition reconnect after it heals`() {
        val seed = printedSeed()
        listOf(2 to 1, 3 to 1, 8 to 4, 8 to 1, 45 to 20).forAll { (count, side) ->
            withClue("$count members, $side on one side") {
                val members = VirtualMembers(seed)
                members.startAndConverge(count)
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
    fun `a member is not declared dead if a single neighbour does not receive its messages`() {
        countDeathsDuringOneWayLoss(requiredObservers = null) shouldBe 0
    }

    @Test
    fun `a live member is declared dead if one observer suffices and one neighbour receives nothing from it`() {
        countDeathsDuringOneWayLoss(requiredObservers = { 1 }) shouldNotBe 0
    }

    @Test
    fun `failed members are declared dead by all others`() {
        val seed = printedSeed()
        listOf(2 to 1, 3 to 1, 3 to 2, 8 to 1, 8 to 7, 45 to 10).forAll { (count, crashes) ->
            withClue("$crashes of $count crash at once") {
                val members = VirtualMembers(seed)
                members.startAndConverge(count)
                members.nodes.take(crashes).forEach { it.isCrashed = true }
                val survivors = members.runningNodes().map { it.id }
                val found = members.timeUntil(30_000) { members.runningNodes().all { it.liveMembers() == survivors.toSet() } }
                // The only survivor of three or more has no second observer and waits for observerTimeoutMs.
                found.shouldNotBeNull() shouldBeLessThan if (count - crashes == 1 && count > 2) 13_000 else 4_000
            }
        }
    }

    @Test
    fun `a process that resumes after a pause does not declare its neighbours dead`() {
        val members = VirtualMembers(printedSeed())
        members.startAndConverge(8)
        val paused = members.nodes.first()
        paused.isPaused = true
        members.run(5_000)
        members.nodes.drop(1).forAll { it.hasState(paused.id, MemberState.DEAD) shouldBe true }
        paused.isPaused = false
        val deaths = HashSet<String>()
        val back = members.timeUntil(10_000) {
            members.nodes.drop(1).forEach { node -> members.nodes.filter { node.hasState(it.id, MemberState.DEAD) && it !== paused }.forEach { deaths += it.id.toString() } }
            members.nodes.all { it.table.liveMembers().size == 8 }
        }
        back.shouldNotBeNull()
        deaths shouldBe emptySet()
    }

    @Test
    fun `a restarted process replaces its earlier run in all tables`() {
        val members = VirtualMembers(printedSeed())
        members.startAndConverge(8)
        val old = members.nodes.last()
        old.isCrashed = true
        members.nodes.remove(old)
        val restarted = members.add(members.uniqueMember(7, incarnation = 1_764_000_009_000L), old.contacts)
        val known = members.timeUntil(5_000) { members.nodes.all { it.table[old.id]?.incarnation == restarted.table.localRecord.incarnation } }
        known.shouldNotBeNull() shouldBeLessThanOrEqual 2_000
    }

    @Test
    fun `a restarted process whose clock stepped back is accepted by all others`() {
        val members = VirtualMembers(printedSeed())
        members.startAndConverge(8)
        val old = members.nodes.last()
        old.isCrashed = true
        members.nodes.remove(old)
        val restarted = members.add(members.uniqueMember(7, incarnation = 1_763_000_000_000L), old.contacts)
        members.timeUntil(10_000) { members.nodes.all { it.hasState(old.id, MemberState.ALIVE) && it.table.liveMembers().size == 8 } }.shouldNotBeNull()
        restarted.table.localRecord.incarnation shouldBe members.nodes.first().table[old.id]!!.incarnation
    }

    @Test
    fun `tables converge after messages were lost`() {
        val members = VirtualMembers(printedSeed())
        members.startAndConverge(45)
        members.lossShare = 0.3
        members.nodes.take(10).forEach { it.membership.announce(MemberState.LEAVING, members.now) }
        members.run(3_000)
        members.lossShare = 0.0
        members.timeUntil(25_000) { members.nodes.map { it.table.digest }.toSet().size == 1 }.shouldNotBeNull()
        members.nodes.forAll { node -> members.nodes.take(10).forAll { node.hasState(it.id, MemberState.LEAVING) shouldBe true } }
    }

    @Test
    fun `a stale host list does not decide which members are live`() {
        val members = VirtualMembers(printedSeed())
        val records = List(8) { members.uniqueMember(it) }
        val dead = List(4) { members.uniqueMember(100 + it) }
        val stale = (dead + records.take(1)).map { Contact(it.id.host, it.peerAddress) }
        records.forEach { members.add(it, stale) }
        members.timeUntil(20_000) { members.nodes.all { it.table.liveMembers().size == 8 } }.shouldNotBeNull()
        members.nodes.forAll { node -> dead.forAll { node.table[it.id] shouldBe null } }
        members.nodes.last().isCrashed = true
        members.timeUntil(4_000) { members.runningNodes().all { it.hasState(members.nodes.last().id, MemberState.DEAD) } }.shouldNotBeNull()
    }

    @Test
    fun `incremental and full computation of the topology choose the same neighbours`() {
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
    fun `a member record uses less than 2,000 bytes of memory`() {
        val table = MemberTable(member("a"))
        val count = 20_000
        val before = usedBytes()
        repeat(count) { table.merge(member("host-$it"), TimeMs(0)) }
        val perRecord = (usedBytes() - before) / count
        println("FIG memory per member record $perRecord bytes")
        table.records().size shouldBe count + 1
        perRecord shouldBeLessThan 2_000
    }

    /** Returns the number of death declarations while one member receives nothing from one that reaches all others. */
    private fun countDeathsDuringOneWayLoss(requiredObservers: RequiredObservers?): Int {
        val members = VirtualMembers(printedSeed(), requiredObservers = requiredObservers)
        members.startAndConverge(8)
        val (receiver, sender) = members.nodes[2] to members.nodes[5]
        members.blocked = { from, to -> from === sender && to === receiver }
        var deaths = 0
        repeat(150) {
            members.run(100)
            deaths += members.nodes.count { it.hasState(sender.id, MemberState.DEAD) }
        }
        return deaths
    }

    private fun usedBytes(): Long {
        repeat(3) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }
}

class AddressResponseTest : AnnotationSpec() {
    private val loads = mapOf("h1" to 900, "h2" to 100, "h3" to 120)

    private fun answer(members: List<org.hickorytiller.peering.MemberRecord>, domain: String?, shuffleSeed: Long = 0) = findAddresses(
        members,
        domain?.let { org.hickorytiller.core.FailureDomain(it) },
        { loads[it.value] },
        10_000,
        shuffleSeed,
    ).addresses

    private fun at(host: String, domain: String, state: MemberState = MemberState.ALIVE, role: MemberRole = MemberRole.ROUTER) = member(host, state = state, role = role).copy(failureDomain = org.hickorytiller.core.FailureDomain(domain), callerAddress = if (role == MemberRole.ROUTER) "10.0.0.1:${host.drop(1)}" else "")

    @Test
    fun `addresses exclude leaving and dead hosts and prefer the failure domain and low load`() {
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
    fun `simultaneous callers receive different first addresses`() {
        val many = List(20) { at("h${10 + it}", "zone-a") }
        (0L until 50).map { answer(many, "zone-a", it).first() }.toSet().size.toLong() shouldNotBe 1L
        answer(many, "zone-a").size shouldBe 8
    }
}

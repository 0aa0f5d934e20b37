package org.hickorytiller.controller

import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.Delivery
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.json
import org.hickorytiller.http.HttpFault
import org.hickorytiller.leases.Duty
import org.hickorytiller.leases.LEASE_STREAM
import org.hickorytiller.leases.LeaseTiming
import org.hickorytiller.orders.OrderId
import org.hickorytiller.orders.PlannerSettings
import org.hickorytiller.orders.PoolPolicy
import org.hickorytiller.orders.orderDuty
import org.hickorytiller.platform.AppendToLog
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.platform.LogPage
import org.hickorytiller.platform.LogRecord
import org.hickorytiller.platform.OrderedBackendServer
import org.hickorytiller.platform.ReadLog
import org.hickorytiller.platform.ServerOrder
import org.hickorytiller.usage.USAGE_DUTY
import org.hickorytiller.usage.USAGE_STREAM
import org.hickorytiller.usage.UsageEntry
import org.hickorytiller.usage.UsageFlush
import org.hickorytiller.usage.UsageTiming
import java.net.InetSocketAddress
import kotlin.random.Random

/** Mechanisms that a variant switches off, to show that the checks find the violation. */
private data class DutyVariant(
    val checksAfterContinue: Boolean = true,
    val receiverClosesIncomplete: Boolean = true,
    val driftMarginMs: Long = 1_000,
)

/** Controllers that run the production tasks against an in-memory log and platform with faults, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
private class Deployment(seed: Long, processCount: Int, private val variant: DutyVariant) {
    private class Stream {
        val records = ArrayList<ByteArray>()
        var earliest = 0
        var changed = CompletableDeferred<Unit>()
    }

    private val random = Random(seed)
    private val scheduler = TestCoroutineScheduler()
    private val dispatcher = StandardTestDispatcher(scheduler)
    private val environment = CoroutineScope(dispatcher + SupervisorJob())
    private val streams = HashMap<String, Stream>()
    private val servers = LinkedHashMap<String, OrderedBackendServer>()
    private val newestToken = HashMap<String, Long>()
    private val reports = HashMap<Long, MutableSet<String>>()
    private val processes =
        List(processCount) { TestProcess("host-$it", scheduler, RATES.random(random), dispatcher) }
    private var isLogUnavailable = false
    private var isInjectingFaults = true
    private var servedRequests = 0L
    private var ids = 0
    val violations = ArrayList<String>()
    var accepted = 0
        private set
    var reported = 0
        private set

    fun run(): String? {
        processes.forEach(::start)
        environment.launch { injectFaults() }
        environment.launch { generateUsage() }
        repeat(CHECKS) {
            scheduler.advanceTimeBy(RUN_MS / CHECKS)
            scheduler.runCurrent()
            checkHolders()
        }
        recover()
        processes.forEach { it.scope.cancel() }
        environment.cancel()
        return violations.firstOrNull()
    }

    private fun recover() {
        isInjectingFaults = false
        isLogUnavailable = false
        processes.forEach { it.dispatcher.isFrozen = false }
        scheduler.advanceTimeBy(RECOVERY_MS)
        scheduler.runCurrent()
        val figures = reports.values.map { json.readTree(it.first()).path("figures") }
        val counted = figures.sumOf { figure -> figure.sumOf { it.path("requests").asLong() } }
        if (counted != servedRequests) recordViolation("served $servedRequests, reported $counted")
    }

    private fun recordViolation(text: String) {
        violations += "$text at ${scheduler.currentTime} ms"
    }

    private fun checkHolders() {
        (DOMAINS.map { orderDuty(FailureDomain(it)) } + USAGE_DUTY).forEach { duty ->
            val holders = holders(duty)
            if (holders.size > 1) recordViolation("${holders.map { it.name }} hold $duty")
        }
    }

    private fun holders(duty: Duty) = processes.filter { process -> process.leases.heldLeases().any { it.duty == duty } }

    private fun start(process: TestProcess) {
        val timing = LeaseTiming(driftMarginMs = variant.driftMarginMs)
        val append = appendOf(process)
        val read = read()
        process.leases = LeaseTask(HostId(process.name), timing, process.clock, append, read)
        val stream = OrderStream(read, process.clock)
        process.scope.launch { process.leases.follow() }
        process.scope.launch { stream.follower.follow(LogOffset(0)) }
        DOMAINS.forEach { domain ->
            val platform =
                OrderPlatform(process.name, append, { listServers() }, { o, m, a -> placeOrder(process, o, m, a) }, { _, _, _, _ -> Delivery.Taken })
            val task =
                OrderTask(FailureDomain(domain), platform, stream, ::requirements, PlannerSettings(), OrderTiming(), process.clock) {
                    OrderId("order-${ids++}")
                }
            process.scope.launch { process.leases.perform(orderDuty(FailureDomain(domain))) { task.run(it) } }
        }
        val windows =
            UsageWindowTask(
                append,
                read,
                { id, bytes, token, mayWrite, afterWrite ->
                    deliver(process, USAGE_DUTY, token.value, mayWrite, afterWrite) {
                        reports.getOrPut(id.value) { mutableSetOf() }.let {
                            it += String(bytes)
                            if (it.size > 1) recordViolation("window $id has ${it.size} figures")
                        }
                        reported++
                    }
                },
                UsageTiming(windowMs = 15_000),
                REQUIRED_LEASE_MS,
                process.clock,
                { "fix-${ids++}" },
            )
        process.scope.launch { process.leases.perform(USAGE_DUTY, windows::run) }
    }

    private fun requirements() = CapacityRequirements(
        listOf(PoolPolicy(PoolId("chat"), 10_000, 400, 150, WANTED_SERVERS, WANTED_SERVERS)),
        emptyList(),
        DOMAINS.map(::FailureDomain),
    )

    private fun listServers() = if (isInjectingFaults && random.nextInt(10) == 0) HttpFault.TIMEOUT.left() else servers.values.toList().right()

    private suspend fun placeOrder(
        process: TestProcess,
        order: ServerOrder,
        mayWrite: () -> Boolean,
        afterWrite: () -> Unit,
    ): Delivery {
        val duty = orderDuty(FailureDomain(order.failureDomain))
        return deliver(process, duty, order.fencingToken, mayWrite, afterWrite) {
            accepted++
            if (order.action == "stop") servers.remove(order.backendServer) else addServer(order)
            val running = servers.values.count { it.server.state != BackendServerState.LEAVING }
            if (running > WANTED_SERVERS) recordViolation("$running servers run, $WANTED_SERVERS are wanted: an order was executed twice")
        }
    }

    private fun addServer(order: ServerOrder) {
        val id = BackendServerId("server-${ids++}")
        val address = InetSocketAddress("127.0.0.1", 1)
        val domain = FailureDomain(order.failureDomain)
        val server = BackendServer(id, PoolId(order.pool), address, domain, BackendServerState.RUNNING, 8, order.reclaimable)
        servers[id.value] = OrderedBackendServer(server, order.orderId)
    }

    /** Sends an order or a report as the production sender does, with a possible freeze between any two steps. */
    private suspend fun deliver(
        process: TestProcess,
        duty: Duty,
        token: Long,
        mayWrite: () -> Boolean,
        afterWrite: () -> Unit,
        effect: () -> Unit,
    ): Delivery {
        maybeFreeze(process)
        delay(random.nextLong(1, 50))
        val openedAt = scheduler.currentTime
        maybeFreeze(process)
        if (!mayWrite() && variant.checksAfterContinue) return Delivery.NotSent("check failed")
        maybeFreeze(process)
        val closed = scheduler.currentTime - openedAt >= INCOMPLETE_TIMEOUT_MS
        if (closed && variant.receiverClosesIncomplete) return Delivery.Unknown("closed")
        afterWrite()
        val others = holders(duty).filter { it != process }
        if (others.isNotEmpty()) recordViolation("${process.name} was accepted for $duty while ${others.first().name} holds it")
        if (token < (newestToken[duty.value] ?: -1)) recordViolation("${process.name} was accepted for $duty with an old token")
        newestToken[duty.value] = maxOf(token, newestToken[duty.value] ?: -1)
        effect()
        delay(random.nextLong(1, 50))
        return if (isInjectingFaults && random.nextInt(4) == 0) Delivery.Unknown("response lost") else Delivery.Taken
    }

    private suspend fun maybeFreeze(process: TestProcess) {
        if (!isInjectingFaults || random.nextInt(3) > 0) return
        freeze(process)
        yield()
    }

    private fun freeze(process: TestProcess) {
        if (process.dispatcher.isFrozen) return
        process.dispatcher.isFrozen = true
        environment.launch {
            // Short freezes end close to the end of a lease or of the receiver's limit for incomplete requests.
            delay(if (random.nextBoolean()) random.nextLong(1, 3_000) else random.nextLong(1, 25_000))
            process.dispatcher.isFrozen = false
        }
    }

    private fun appendOf(process: TestProcess): AppendToLog = { stream, data ->
        delay(random.nextLong(1, 40))
        if (!isInjectingFaults || random.nextInt(20) > 0) {
            if (isLogUnavailable) LogFailure.UNAVAILABLE.left() else append(stream.value, data).right()
        } else {
            appendWithLostResponse(process, stream.value, data)
        }
    }

    // The record is appended late or never, possibly while its sender is frozen.
    private suspend fun appendWithLostResponse(process: TestProcess, stream: String, data: ByteArray) = run {
        val takesEffect = random.nextBoolean()
        environment.launch {
            delay(random.nextLong(0, 15_000))
            if (takesEffect && !isLogUnavailable) append(stream, data)
        }
        if (random.nextInt(4) == 0) freeze(process)
        delay(2_000)
        LogFailure.UNKNOWN.left()
    }

    private fun append(stream: String, data: ByteArray): LogOffset {
        val appended = streams.getOrPut(stream) { Stream() }
        appended.records += data
        appended.changed.complete(Unit)
        appended.changed = CompletableDeferred()
        return LogOffset(appended.records.size - 1L)
    }

    private fun read(): ReadLog = { name, from, waitMs ->
        val stream = streams.getOrPut(name.value) { Stream() }
        if (from.value >= stream.records.size) withTimeoutOrNull(waitMs) { stream.changed.await() }
        delay(random.nextLong(1, 20))
        if (isLogUnavailable) LogFailure.UNAVAILABLE.left() else page(stream, from).right()
    }

    private fun page(stream: Stream, from: LogOffset): LogPage {
        val first = maxOf(from.value, stream.earliest.toLong())
        val offsets = first until minOf(stream.records.size.toLong(), first + 50)
        val records = offsets.map { LogRecord(LogOffset(it), stream.records[it.toInt()]) }
        return LogPage(LogOffset(stream.earliest.toLong()), LogOffset(stream.records.size.toLong()), records)
    }

    private suspend fun injectFaults() {
        while (isInjectingFaults) {
            delay(random.nextLong(500, 6_000))
            if (!isInjectingFaults) return
            when (random.nextInt(6)) {
                0, 1 -> freeze(processes.random(random))
                2 -> isLogUnavailable = random.nextInt(3) == 0
                3 -> servers.keys.randomOrNull(random)?.let(servers::remove)
                4 -> dropOldLeases()
                else -> isLogUnavailable = false
            }
        }
    }

    private fun dropOldLeases() {
        val stream = streams.getOrPut(LEASE_STREAM.value) { Stream() }
        if (random.nextInt(5) == 0) stream.earliest = random.nextInt(stream.earliest, stream.records.size + 1)
    }

    private suspend fun generateUsage() {
        var sequence = 0L
        while (isInjectingFaults) {
            delay(random.nextLong(500, 4_000))
            val requests = random.nextLong(1, 9)
            servedRequests += requests
            val entry = UsageEntry("clinic", "reports", "chat", requests, 1, 1, 100)
            val flush = json.writeValueAsBytes(UsageFlush("host-1", "run", ++sequence, 2_000, listOf(entry)))
            repeat(if (random.nextInt(4) == 0) 2 else 1) { append(USAGE_STREAM.value, flush) }
        }
    }

    private companion object {
        val RATES = listOf(0.9535, 1.0, 1.0487)
        val DOMAINS = listOf("zone-a", "zone-b")
        const val WANTED_SERVERS = 3
        const val INCOMPLETE_TIMEOUT_MS = 2_000L
        const val REQUIRED_LEASE_MS = 2_500L
        const val RUN_MS = 300_000L
        const val RECOVERY_MS = 90_000L
        const val CHECKS = 600
    }
}

class DutyInterleavingTest : AnnotationSpec() {
    private class Summary(val violations: List<String>, val accepted: Int, val reported: Int)

    private fun run(variant: DutyVariant, runs: Int, stopAtFirst: Boolean): Summary {
        val base = System.getProperty("hickory.seed")?.toLong() ?: 20_261_210L
        val violations = ArrayList<String>()
        var accepted = 0
        var reported = 0
        var done = 0
        while (done < runs && !(stopAtFirst && violations.isNotEmpty())) {
            val deployment = Deployment(base + done, 2 + done % 2, variant)
            deployment.run()?.let { violations += "seed ${base + done}: $it" }
            accepted += deployment.accepted
            reported += deployment.reported
            done++
        }
        println("DutyInterleavingTest: seeds $base..${base + done - 1}, $variant")
        println("  violations in ${violations.size} of $done runs, $accepted orders, $reported reports; ${violations.firstOrNull()}")
        return Summary(violations, accepted, reported)
    }

    @Test
    fun `never has two holders of a duty, a duplicate order, two reports of a window or lost usage`() {
        val runs = System.getProperty("hickory.runs")?.toInt() ?: 30
        val summary = run(DutyVariant(), runs, stopAtFirst = false)
        summary.violations.shouldBeEmpty()
        summary.accepted shouldBeGreaterThan 200
        summary.reported shouldBeGreaterThan 100
    }

    @Test
    fun `detects orders from two processes if the lease is checked only before connecting`() {
        run(DutyVariant(checksAfterContinue = false), runs = 200, stopAtFirst = true).violations.firstOrNull().shouldNotBeNull()
    }

    @Test
    fun `detects orders from two processes if the receiver keeps incomplete requests open`() {
        run(DutyVariant(receiverClosesIncomplete = false), runs = 200, stopAtFirst = true).violations.firstOrNull().shouldNotBeNull()
    }
}

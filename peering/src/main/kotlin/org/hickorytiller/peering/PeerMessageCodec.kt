/**
 * Converts messages between the Kotlin types and protobuf. This is the only place that does so. A message with an
 * invalid field is rejected as a whole, so that no component receives a part of it.
 */
package org.hickorytiller.peering

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.Tier
import org.hickorytiller.peering.generated.BackendInFlight
import org.hickorytiller.peering.generated.EvictionRecord
import org.hickorytiller.peering.generated.PeerEnvelope
import org.hickorytiller.peering.generated.QuarantineRecord
import org.hickorytiller.peering.generated.SuspicionRecord
import org.hickorytiller.peering.generated.ClassDemand as WireClassDemand
import org.hickorytiller.peering.generated.CustomerCharge as WireCustomerCharge
import org.hickorytiller.peering.generated.DemandReport as WireDemandReport
import org.hickorytiller.peering.generated.MemberRecord as WireMemberRecord
import org.hickorytiller.peering.generated.MemberState as WireMemberState

/** A message was rejected because of an invalid [field]. */
data class MalformedMessage(val field: String)

/** Encodes a message. */
fun PeerMessage.toEnvelope(): PeerEnvelope {
    val message = this
    val builder =
        PeerEnvelope
            .newBuilder()
            .setIncarnation(incarnation)
            .setSequence(sequence)
            // Plus one, so that an empty configuration is zero and takes no space.
            .setConfigurationPosition(configurationOffset.value + 1)
            .setLoadPermille(loadPermille)
            .addAllMembers(members.map { it.toWire() })
            .addAllSuspicions(suspicions.map { it.toWire() })
            .setTableDigest(tableDigest ?: 0)
            .addAllRecordDigests(recordDigests)
            .addAllWithdrawnKeyHashes(withdrawnKeys.map { it.value })
            .addAllQuarantines(quarantines.map { it.toWire() })
            .addAllEvictions(evictions.map { it.toWire() })
    sender?.let {
        builder.setSenderProcess(it.process.value).setSenderHost(it.id.host.value).setSenderRole(it.id.role.code)
    }
    message.demand?.let { builder.setDemand(it.toWire()) }
    return builder.build()
}

/** Decodes a message, or returns the first invalid field. */
fun PeerEnvelope.toMessage(): Either<MalformedMessage, PeerMessage> = try {
    PeerMessage(
        sender = senderIdentity(),
        incarnation = incarnation.requireIncarnation("incarnation"),
        sequence = sequence.requireAtLeast(1, "sequence"),
        configurationOffset = LogOffset(configurationPosition.requireAtLeast(0, "configuration_position") - 1),
        loadPermille = loadPermille.coerceIn(0, MAX_LOAD_PERMILLE),
        members = membersList.map { it.toRecord() },
        suspicions = suspicionsList.map { it.toSuspicion() },
        tableDigest = tableDigest.takeIf { it != 0L },
        recordDigests = recordDigestsList,
        withdrawnKeys = withdrawnKeyHashesList.map { it.toKeyHash() },
        quarantines = quarantinesList.map { it.toNotice() },
        evictions = evictionsList.map { it.toNotice() },
        demand = if (hasDemand()) demand.toReport() else null,
    ).right()
} catch (e: FieldException) {
    MalformedMessage(e.field).left()
}

private fun PeerEnvelope.senderIdentity(): PeerIdentity? {
    if (senderHost.isEmpty() && senderProcess.isEmpty()) return null
    return PeerIdentity(
        MemberId(HostId(senderHost.requireName("sender_host")), senderRole.toRole()),
        ProcessId(senderProcess.requireName("sender_process")),
    )
}

private fun MemberRecord.toWire(): WireMemberRecord = WireMemberRecord
    .newBuilder()
    .setProcess(process.value)
    .setHost(id.host.value)
    .setRole(id.role.code)
    .setFailureDomain(failureDomain.value)
    .setIncarnation(incarnation)
    .setVersion(version)
    .setState(WIRE_STATES.getValue(state))
    .setPeerAddress(peerAddress)
    .setCallerAddress(callerAddress)
    .setAdminAddress(adminAddress)
    .build()

private fun WireMemberRecord.toRecord() = MemberRecord(
    MemberId(HostId(host.requireName("members.host")), role.toRole()),
    ProcessId(process.requireName("members.process")),
    FailureDomain(failureDomain.requireName("members.failure_domain")),
    incarnation.requireIncarnation("members.incarnation"),
    version.requireAtLeast(0, "members.version"),
    WIRE_STATES.entries.firstOrNull { it.value == state }?.key ?: throw FieldException("members.state"),
    peerAddress.requireAddressOrEmpty("members.peer_address"),
    callerAddress.requireAddressOrEmpty("members.caller_address"),
    adminAddress.requireAddressOrEmpty("members.admin_address"),
)

private fun Suspicion.toWire(): SuspicionRecord = SuspicionRecord
    .newBuilder()
    .setHost(target.host.value)
    .setRole(target.role.code)
    .setIncarnation(incarnation)
    .setObserverHost(observer.host.value)
    .setObserverRole(observer.role.code)
    .setVersion(version)
    .setActive(active)
    .build()

private fun SuspicionRecord.toSuspicion() = Suspicion(
    MemberId(HostId(host.requireName("suspicions.host")), role.toRole()),
    incarnation.requireIncarnation("suspicions.incarnation"),
    MemberId(HostId(observerHost.requireName("suspicions.observer_host")), observerRole.toRole()),
    version.requireAtLeast(0, "suspicions.version"),
    active,
)

private fun QuarantineNotice.toWire(): QuarantineRecord =
    QuarantineRecord.newBuilder().setFingerprint(fingerprint).setRemainingMs(remainingMs).build()

private fun QuarantineRecord.toNotice() = QuarantineNotice(
    fingerprint.requireName("quarantines.fingerprint"),
    remainingMs.requireAtLeast(0, "quarantines.remaining_ms"),
)

private fun EvictionNotice.toWire(): EvictionRecord =
    EvictionRecord.newBuilder().setFailureDomain(failureDomain.value).setRemainingMs(remainingMs).build()

private fun EvictionRecord.toNotice() = EvictionNotice(
    FailureDomain(failureDomain.requireName("evictions.failure_domain")),
    remainingMs.requireAtLeast(0, "evictions.remaining_ms"),
)

private fun DemandReport.toWire(): WireDemandReport = WireDemandReport
    .newBuilder()
    .setSequence(sequence)
    .addAllClasses(classes.map { it.toWire() })
    .addAllCustomers(customers.map { it.toWire() })
    .addAllBackends(backends.map { it.toWire() })
    .build()

private fun ClassDemand.toWire(): WireClassDemand = WireClassDemand
    .newBuilder()
    .setClassId(requestClass.value)
    .setWaiting(waiting)
    .setRunning(running)
    .setPool(pool.value)
    .setTier(tier.value)
    .setOfferedSlots(offeredSlots)
    .build()

private fun CustomerCharge.toWire(): WireCustomerCharge = WireCustomerCharge
    .newBuilder()
    .setClassId(requestClass.value)
    .setCustomer(customer.value)
    .setChargedTokens(chargedTokens)
    .setRunning(running)
    .setRequestsPerMinute(requestsPerMinute)
    .setPool(pool.value)
    .build()

private fun ServerInFlight.toWire(): BackendInFlight = BackendInFlight
    .newBuilder()
    .setBackendServer(backendServer.value)
    .setInFlight(inFlight)
    .build()

private fun WireDemandReport.toReport() = DemandReport(
    sequence.requireAtLeast(0, "demand.sequence"),
    classesList.map {
        ClassDemand(
            PoolId(it.pool.requireName("demand.pool")),
            ClassId(it.classId.requireName("demand.class_id")),
            Tier(it.tier.requireCount("demand.tier")),
            it.waiting.requireCount("demand.waiting"),
            it.running.requireCount("demand.running"),
            it.offeredSlots.requireCount("demand.offered_slots"),
        )
    },
    customersList.map {
        CustomerCharge(
            PoolId(it.pool.requireName("demand.pool")),
            ClassId(it.classId.requireName("demand.class_id")),
            CustomerId(it.customer.requireName("demand.customer")),
            it.chargedTokens.requireAtLeast(0, "demand.charged_tokens"),
            it.running.requireCount("demand.running"),
            it.requestsPerMinute.requireCount("demand.requests_per_minute"),
        )
    },
    backendsList.map {
        ServerInFlight(
            BackendServerId(it.backendServer.requireName("demand.backend_server")),
            it.inFlight.requireCount("demand.in_flight"),
        )
    },
)

private const val MAX_LOAD_PERMILLE = 1_000
private val WIRE_STATES =
    mapOf(
        MemberState.ALIVE to WireMemberState.MEMBER_STATE_ALIVE,
        MemberState.LEAVING to WireMemberState.MEMBER_STATE_LEAVING,
        MemberState.DEAD to WireMemberState.MEMBER_STATE_DEAD,
    )

/** The member record of a controller. */
package org.hickorytiller.membership

import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.wallTimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.MemberRole
import org.hickorytiller.peering.MemberState

/**
 * Returns the record with which a controller joins. It has no peer address, because a controller only connects to
 * routers and relays nothing. Its node is started with
 * `PeerNode(controllerRecord(...), loop.group, loop.scope, readContacts).start()`.
 */
fun controllerRecord(
    host: HostId,
    process: ProcessId,
    failureDomain: FailureDomain,
    adminAddress: String = "",
): MemberRecord = MemberRecord(
    MemberId(host, MemberRole.CONTROLLER),
    process,
    failureDomain,
    incarnation = wallTimeMs(),
    version = 0,
    MemberState.ALIVE,
    adminAddress = adminAddress,
)

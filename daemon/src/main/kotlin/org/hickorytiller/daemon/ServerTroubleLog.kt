/** Writes a line for each crash of a server, and for each change of what is refused or limited because of servers. */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.placement.ServerRun
import org.hickorytiller.placement.ServerStatementChange
import org.hickorytiller.quarantine.Fingerprint

private val log = KotlinLogging.logger {}

internal fun logCrash(server: BackendServer, suspected: Set<Fingerprint>) = log.warn {
    "event=server_crashed server=${server.id} domain=${server.failureDomain} suspects=${suspected.joinToString(",")}"
}

internal fun logRateLimit(server: BackendServerId, ratePerS: Double?) = log.info {
    "event=rate_limit server=$server ratePerS=$ratePerS"
}

/** The name of [change] in the log and the metrics. */
internal fun codeOf(change: ServerStatementChange): String = when (change) {
    is ServerStatementChange.Leaves -> "leaves"
    is ServerStatementChange.Pauses -> "pauses"
    ServerStatementChange.Returns -> "returns"
}

internal fun logStatementChange(server: ServerRun, change: ServerStatementChange) = log.info {
    val details =
        when (change) {
            is ServerStatementChange.Leaves -> " isOwn=${change.isOwn}"
            is ServerStatementChange.Pauses -> " pauseMs=${change.pauseMs}"
            ServerStatementChange.Returns -> ""
        }
    "event=server_${codeOf(change)} server=${server.id} startedMs=${server.startedMs}$details"
}

internal fun logQuarantineChange(fingerprint: Fingerprint, isQuarantined: Boolean) = log.warn {
    "event=${if (isQuarantined) "quarantined" else "quarantine_lifted"} fingerprint=$fingerprint"
}

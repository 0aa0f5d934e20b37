/** Writes a line for each crash of a server and for each change of what is refused because of crashes. */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.hickorytiller.core.BackendServer
import org.hickorytiller.quarantine.Fingerprint

private val log = KotlinLogging.logger {}

internal fun logCrash(server: BackendServer, suspected: Set<Fingerprint>) = log.warn {
    "event=server_crashed server=${server.id} domain=${server.failureDomain} suspects=${suspected.joinToString(",")}"
}

internal fun logQuarantineChange(fingerprint: Fingerprint, isQuarantined: Boolean) = log.warn {
    "event=${if (isQuarantined) "quarantined" else "quarantine_lifted"} fingerprint=$fingerprint"
}

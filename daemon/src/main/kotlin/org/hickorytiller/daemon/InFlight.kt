/** Requests that callers wait for, so that a planned stop can wait for them and report those that it cuts off. */
package org.hickorytiller.daemon

import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.relay.RequestId
import java.util.Locale

/** How far a request in flight has come. */
internal enum class RequestPhase {
    /** Its body is being received. */
    RECEIVING,

    /** It was received whole, and waits for a server or for the response of one. */
    RELAYING,

    /** Its response has begun. */
    RESPONDING,
    ;

    val code: String get() = name.lowercase(Locale.ROOT)
}

/**
 * A request whose response is not complete yet.
 *
 * @property id null until the head is decoded, or if the caller names none
 * @property deadline null until the route is known
 * @property expectedMs time that recent responses of its route took; null if there were none
 */
internal class InFlightRequest(val receivedAt: TimeMs) {
    var id: RequestId? = null
    var deadline: TimeMs? = null
    var expectedMs: Long? = null
    var phase = RequestPhase.RECEIVING
}

/** The requests in flight. Confined to the event loop. */
internal class InFlight(private val clock: Clock) {
    private val current = LinkedHashSet<InFlightRequest>()

    /** Number of requests whose response is not complete yet. */
    val count: Int get() = current.size

    /** Number of requests that were received whole and whose response is not complete yet. */
    val unansweredCount: Int get() = current.count { it.phase != RequestPhase.RECEIVING }

    /** The requests whose response is not complete yet, in the order of their receipt. */
    val requests: Collection<InFlightRequest> get() = current

    /** Runs [serve] for a request on [connection] and returns its result after the response has been flushed. */
    suspend fun track(connection: ServerConnection, serve: suspend (InFlightRequest) -> Boolean): Boolean {
        val request = InFlightRequest(clock())
        current += request
        try {
            return serve(request).also { connection.flush() }
        } finally {
            current -= request
        }
    }
}

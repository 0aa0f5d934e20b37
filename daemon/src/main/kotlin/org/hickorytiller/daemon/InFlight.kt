/** Requests that callers wait for, so that a planned stop can wait for them too. */
package org.hickorytiller.daemon

import org.hickorytiller.http.ServerConnection

/** Counts requests in flight. Confined to the event loop. */
internal class InFlight {
    /** Requests whose response is not complete yet. */
    var count = 0
        private set

    /** Runs [serve] for a request on [connection] and returns its result after the response has been flushed. */
    suspend fun track(connection: ServerConnection, serve: suspend () -> Boolean): Boolean {
        count++
        try {
            return serve().also { connection.flush() }
        } finally {
            count--
        }
    }
}

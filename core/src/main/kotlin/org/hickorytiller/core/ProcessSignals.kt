/**
 * Signals that the process receives. A process installs its handlers before its listeners open, since the default
 * action of these signals ends the JVM at once, with all requests that it has accepted.
 */
package org.hickorytiller.core

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import sun.misc.Signal

/** Handles the signals called [names] from now on; completes with the time of the first one. */
fun firstSignal(clock: Clock, vararg names: String): Deferred<TimeMs> {
    val receivedAt = CompletableDeferred<TimeMs>()
    names.forEach { name -> Signal.handle(Signal(name)) { receivedAt.complete(clock()) } }
    return receivedAt
}

/** Handles the signal called [name] from now on; signals that were not received from the channel yet count as one. */
fun repeatedSignal(name: String): ReceiveChannel<Unit> {
    val received = Channel<Unit>(Channel.CONFLATED)
    Signal.handle(Signal(name)) { received.trySend(Unit) }
    return received
}

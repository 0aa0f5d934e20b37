/** Time and size limits of the peer protocol. */
package org.hickorytiller.peering

/**
 * Time and size limits of links and calls.
 *
 * @property heartbeatIntervalMs longest time between two messages
 * @property minMessageIntervalMs shortest time between two messages, so that a burst of urgent updates shares messages
 * @property idleTimeoutMs time without a received message after which a link is closed, and the time-out of sending a
 *   message. Below the 2 s after which a member is suspected, so that a new link can be opened first.
 * @property reconnectDelayMs delay before a closed link is opened again
 * @property connectTimeoutMs time-out for establishing a connection
 * @property callTimeoutMs time-out of a single call
 * @property maxMessageBytes largest size of a message; the largest one at a start with 360 members has about 40 KiB
 * @property maxConfigurationBytes largest size of a configuration state fetched from a peer
 */
data class PeerLimits(
    val heartbeatIntervalMs: Long = 500,
    val minMessageIntervalMs: Long = 20,
    val idleTimeoutMs: Long = 1_500,
    val reconnectDelayMs: Long = 250,
    val connectTimeoutMs: Long = 1_500,
    val callTimeoutMs: Long = 5_000,
    val maxMessageBytes: Int = 262_144,
    val maxConfigurationBytes: Int = 33_554_432,
)

/** Times and sizes of the links between peers. */
package org.hickorytiller.peering

/**
 * @property heartbeatMs time after which a message goes out at the latest
 * @property coalesceMs least time between two messages, so that a burst of urgent news shares messages
 * @property silenceMs time without a message after which a link is given up; below the 2 s after which a member is
 *   suspected, so that a new link can take the place of a silent one before
 * @property reconnectMs time between two attempts to connect
 * @property connectMs time to establish a connection and get the first message
 * @property callMs time for a unary call
 * @property maxMessageBytes size of a message; the largest one of a start at 360 members is about 40 KiB
 * @property maxConfigurationBytes size of a whole configuration state fetched from a peer
 */
data class PeerLimits(
    val heartbeatMs: Long = 500,
    val coalesceMs: Long = 20,
    val silenceMs: Long = 1_500,
    val reconnectMs: Long = 250,
    val connectMs: Long = 1_500,
    val callMs: Long = 5_000,
    val maxMessageBytes: Int = 262_144,
    val maxConfigurationBytes: Int = 33_554_432,
)

/** Limits that every HTTP connection of the system observes, so that one bad peer cannot hold memory or a task. */
package org.hickorytiller.http

/**
 * Limits of one HTTP endpoint.
 *
 * @property maxHeadBytes size of the request or status line and all header fields together
 * @property maxBodyBytes size of a body that is collected in memory
 * @property headTimeoutMs time for the head of a message from its first byte
 * @property bodyTimeoutMs time for the whole body of a request
 * @property idleTimeoutMs time that a connection may stay open without a request
 * @property writeTimeoutMs time that a peer may leave the write buffer full
 * @property connectTimeoutMs time to establish a connection
 * @property lingerTimeoutMs time that a refused peer gets to read the answer while what it still sends is dropped
 * @property maxConnections number of connections that a server holds at once
 */
data class HttpLimits(
    val maxHeadBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headTimeoutMs: Long = 5_000,
    val bodyTimeoutMs: Long = 20_000,
    val idleTimeoutMs: Long = 60_000,
    val writeTimeoutMs: Long = 20_000,
    val connectTimeoutMs: Long = 2_000,
    val lingerTimeoutMs: Long = 1_000,
    val maxConnections: Int = 4_096,
)

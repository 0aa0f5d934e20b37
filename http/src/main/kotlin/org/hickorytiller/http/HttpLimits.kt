/** Limits of HTTP connections, so that a faulty peer cannot occupy memory or a task without bound. */
package org.hickorytiller.http

/**
 * Limits of one HTTP endpoint.
 *
 * @property maxHeadBytes maximum size of the request or status line, and of all header fields
 * @property maxBodyBytes maximum size of a body that is collected in memory
 * @property headTimeoutMs time within which the head of a message has to be complete, from its first byte
 * @property bodyTimeoutMs time within which the whole body of a request has to arrive; also the default time limit of a
 *   client call
 * @property idleTimeoutMs time for which a connection may stay open without a request
 * @property writeTimeoutMs time for which a peer may leave the write buffer full
 * @property connectTimeoutMs time to establish a connection
 * @property lingerTimeoutMs time for which input is discarded after the last response, so that the peer can read the
 *   response
 * @property maxConnections number of connections that a server keeps open at once
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

/** Largest read of a socket at once; a queue may exceed its watermark by one read. */
internal const val READ_BYTES = 16_384

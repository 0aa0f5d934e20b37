/** A request class as configured by operators: its priority and its latency targets. */
package org.hickorytiller.core

/**
 * @property tier priority; lower numbers are served first
 * @property firstTokenTargetMs target for the time from arrival to the first token, or to the complete response of a
 *   plain service
 * @property betweenTokensTargetMs target for the time between two tokens
 * @property timeoutMs time after which a request of the class is abandoned
 */
data class RequestClass(
    val id: ClassId,
    val tier: Tier,
    val firstTokenTargetMs: Long,
    val betweenTokensTargetMs: Long,
    val timeoutMs: Long,
)

/** Collects the body of a response that is relayed only once it is complete. */
package org.hickorytiller.relay

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import java.io.ByteArrayOutputStream

/** Collects the body until [deadline]. A body of more than [maxBytes] counts as lost. */
internal suspend fun StartedResponse.collectBody(
    clock: Clock,
    deadline: TimeMs,
    maxBytes: Int,
): Either<ExchangeFailure, ByteArray> {
    val body = ByteArrayOutputStream()
    while (true) {
        val waitMs = deadline - clock()
        if (waitMs <= 0) return ExchangeFailure.TIMEOUT.left()
        val bytes = receive(waitMs).getOrElse { return it.left() } ?: return body.toByteArray().right()
        if (body.size() + bytes.size > maxBytes) return ExchangeFailure.LOST.left()
        body.write(bytes)
    }
}

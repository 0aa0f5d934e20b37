/** Collects the body of a response that is relayed only once it is complete. */
package org.hickorytiller.relay

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import org.hickorytiller.http.BodyBuffer

/** Collects the body in [body] until [deadline]. A body that exceeds its limit or finds no memory counts as lost. */
internal suspend fun StartedResponse.collectBody(
    clock: Clock,
    deadline: TimeMs,
    body: BodyBuffer,
): Either<ExchangeFailure, ByteArray> {
    while (true) {
        val waitMs = deadline - clock()
        if (waitMs <= 0) return ExchangeFailure.TIMEOUT.left()
        val bytes = receive(waitMs).getOrElse { return it.left() } ?: return body.toByteArray().right()
        if (body.append(bytes) != null) return ExchangeFailure.LOST.left()
    }
}

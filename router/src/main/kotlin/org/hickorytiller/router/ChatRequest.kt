/** Decodes the body of a chat completion request. */
package org.hickorytiller.router

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonProcessingException
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.json

/** What the router needs to know of a chat completion request. */
internal data class ChatRequest(val model: ModelId, val stream: Boolean)

/** Decodes [body], or says what is wrong with it. */
internal fun parseChatRequest(body: ByteArray): Either<String, ChatRequest> {
    val root =
        try {
            json.readTree(body)
        } catch (e: JsonProcessingException) {
            return "body is not JSON: ${e.originalMessage}".left()
        }
    val model = root?.path("model")?.textValue() ?: return "\"model\" is missing or not a string".left()
    if (!root.path("messages").isArray) return "\"messages\" is missing or not a list".left()
    return ChatRequest(ModelId(model), root.path("stream").asBoolean()).right()
}

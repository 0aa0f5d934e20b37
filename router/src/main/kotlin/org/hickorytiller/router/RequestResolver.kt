/**
 * Finds the customer, route and class of a request. Everything that the head alone decides is checked before the body
 * is received, so that a caller without a key cannot make the router buffer a body.
 */
package org.hickorytiller.router

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.hickorytiller.configuration.ConfigurationDocument
import org.hickorytiller.configuration.RouteEntry
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.keys.hashKey

/** The path of chat completions, whose route depends on the model in the body. */
internal const val CHAT_PATH = "/v1/chat/completions"

/** Returns the configuration in effect; null if none has been read yet. */
internal typealias CurrentDocument = () -> ConfigurationDocument?

/** Resolves requests against the configuration in effect. */
internal class RequestResolver(
    private val clock: Clock,
    private val currentDocument: CurrentDocument,
    private val keys: KeyRegistry,
) {
    /** Returns the error if [head] alone is enough to reject the request; null if the body is to be received. */
    fun validateHead(head: RequestHead): CallerError? {
        val document = currentDocument() ?: return CallerError.notReady
        val routes = document.routes.filter { it.path == head.path }
        if (routes.isEmpty()) return notFoundError(head)
        val key = head.bearerKey().getOrElse { return it }
        return if (routes.any { it.open }) null else authenticate(key, isOpen = false).leftOrNull()
    }

    /** Resolves a complete request. */
    fun resolve(head: RequestHead, body: ByteArray): Either<CallerError, CallerRequest> {
        val document = currentDocument() ?: return CallerError.notReady.left()
        val chat = if (head.path == CHAT_PATH) {
            parseChatRequest(body).getOrElse { return CallerError.badRequest("invalid_request", it).left() }
        } else {
            null
        }
        val route = document.route(head.path, chat?.model) ?: return notFoundError(head, chat).left()
        val key = head.bearerKey().getOrElse { return it.left() }
        val caller = authenticate(key, route.open).getOrElse { return it.left() }
        val requestClass = selectClass(document, route, head).getOrElse { return it.left() }
        val kind = document.pools.getValue(route.pool).kind
        val request = CallerRequest(head, body, route, kind, caller, requestClass, chat, clock())
        return request.validationError()?.left() ?: request.right()
    }

    private fun notFoundError(head: RequestHead, chat: ChatRequest? = null): CallerError {
        val model = chat?.let { " and model ${it.model}" }.orEmpty()
        return CallerError(HttpStatus.NOT_FOUND, "not_found", "no route for ${head.path}$model")
    }

    private fun authenticate(key: String?, isOpen: Boolean): Either<CallerError, Caller> {
        // The key is kept on an open route too, since it must not be forwarded there either.
        if (isOpen) return Caller(OPEN_CUSTOMER, key, null).right()
        if (key == null) {
            return CallerError(HttpStatus.UNAUTHORIZED, "key_missing", "the request carries no key").left()
        }
        val hash = hashKey(key)
        val customer = keys.customerOf(hash)
            ?: return CallerError(HttpStatus.UNAUTHORIZED, "key_unknown", "the key is unknown or withdrawn").left()
        return Caller(customer, key, hash).right()
    }

    private fun selectClass(
        document: ConfigurationDocument,
        route: RouteEntry,
        head: RequestHead,
    ): Either<CallerError, RequestClass> {
        val name = head.headers["x-request-class"]?.let(::ClassId) ?: route.classes.first()
        if (name !in route.classes) {
            return CallerError.badRequest("class_not_allowed", "class $name is not allowed on this route").left()
        }
        return document.classes.getValue(name).right()
    }

    private companion object {
        val OPEN_CUSTOMER = CustomerId("(open)")
    }
}

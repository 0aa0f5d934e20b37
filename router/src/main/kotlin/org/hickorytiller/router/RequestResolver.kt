/**
 * Finds the customer, route and class of a request. What the head alone decides is decided before the body is
 * received, so that a caller without a key cannot make the router hold a body.
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

/** The configuration in force; null while none has been read. */
internal typealias CurrentDocument = () -> ConfigurationDocument?

/** Resolves requests against the configuration in force. */
internal class RequestResolver(
    private val clock: Clock,
    private val currentDocument: CurrentDocument,
    private val keys: KeyRegistry,
) {
    /** The error that the head alone decides; null if the body is to be received. */
    fun refusalByHead(head: RequestHead): CallerError? {
        val document = currentDocument() ?: return CallerError.notReady
        val routes = document.routes.filter { it.path == head.path }
        if (routes.isEmpty()) return notFound(head)
        val key = head.bearerKey().getOrElse { return it }
        return if (routes.any { it.open }) null else caller(key, open = false).leftOrNull()
    }

    /** Resolves a whole request. */
    fun resolve(head: RequestHead, body: ByteArray): Either<CallerError, CallerRequest> {
        val document = currentDocument() ?: return CallerError.notReady.left()
        val chat = if (head.path == CHAT_PATH) {
            parseChatRequest(body).getOrElse { return CallerError.badRequest("invalid_request", it).left() }
        } else {
            null
        }
        val route = document.route(head.path, chat?.model) ?: return notFound(head, chat).left()
        val key = head.bearerKey().getOrElse { return it.left() }
        val caller = caller(key, route.open).getOrElse { return it.left() }
        val requestClass = requestClass(document, route, head).getOrElse { return it.left() }
        val kind = document.pools.getValue(route.pool).kind
        val request = CallerRequest(head, body, route, kind, caller, requestClass, chat, clock())
        return request.fault()?.left() ?: request.right()
    }

    private fun notFound(head: RequestHead, chat: ChatRequest? = null): CallerError {
        val model = chat?.let { " and model ${it.model}" }.orEmpty()
        return CallerError(HttpStatus.NOT_FOUND, "not_found", "no route for ${head.path}$model")
    }

    private fun caller(key: String?, open: Boolean): Either<CallerError, Caller> {
        // The key of a caller is never passed on, on an open route neither.
        if (open) return Caller(OPEN_CUSTOMER, key, null).right()
        if (key == null) {
            return CallerError(HttpStatus.UNAUTHORIZED, "key_missing", "the request carries no key").left()
        }
        val hash = hashKey(key)
        val customer = keys.customerOf(hash)
            ?: return CallerError(HttpStatus.UNAUTHORIZED, "key_unknown", "the key is unknown or withdrawn").left()
        return Caller(customer, key, hash).right()
    }

    private fun requestClass(
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

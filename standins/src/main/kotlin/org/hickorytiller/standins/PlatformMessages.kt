/** Messages of the platform's operators and callers, for programs that take their place before a daemon. */
package org.hickorytiller.standins

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.formatAddress
import org.hickorytiller.core.jsonTreeMapper
import org.hickorytiller.http.Headers
import org.hickorytiller.http.RequestHead
import java.net.InetSocketAddress

/**
 * A route of a configuration whose paths begin with its name.
 *
 * @property isRetryable whether its requests may run more than once
 */
data class StandInRoute(val name: String, val isStream: Boolean, val isRetryable: Boolean, val timeoutMs: Long)

/** Returns a configuration in which [routes] of [host] lead to one pool, for the caller with [key]. */
fun platformConfiguration(host: String, routes: List<StandInRoute>, key: String): String {
    val root = jsonTreeMapper.createObjectNode().put("version", 1)
    val entries = root.putArray("routes")
    routes.forEach { route ->
        val kind =
            when {
                route.isStream -> "stream"
                route.isRetryable -> "idempotent"
                else -> "non_idempotent"
            }
        entries.addObject()
            .put("name", route.name)
            .put("host", host)
            .put("path-prefix", "/${route.name}/")
            .put("kind", kind)
            .put("timeout-ms", route.timeoutMs)
            .put("goal-ms", GOAL_MS)
            .put("service", POOL)
            .put("attempts", 2)
            .put("can-resume", route.isStream && route.isRetryable)
    }
    root.putArray("services").addObject().put("name", POOL)
    root.putArray("tenants").addObject().put("name", "clinic").putArray("api-keys").add(key)
    return jsonTreeMapper.writeValueAsString(root)
}

/** Returns the entry of a server of the pool in the list of backend servers. */
fun platformServerEntry(address: InetSocketAddress, domain: FailureDomain, slots: Int): String =
    jsonTreeMapper.writeValueAsString(
        jsonTreeMapper.createObjectNode()
            .put("service", POOL)
            .put("addr", address.formatAddress())
            .put("zone", domain.value)
            .put("slots", slots)
            .put("state", "ready")
            .put("born", 1),
    )

/** Appends the entry of the server called [id] to the list. */
fun PlatformStoreStandIn.putServer(id: BackendServerId, entry: String) = put("keyed.servers", id.value, entry)

/** Returns the target of a caller's question where to connect for [host]. */
fun directoryTarget(host: String): String = "/resolve?name=$host&region=r&zone=z-a"

/** Returns the header fields of a caller's request; [partId] names the last part of a prompt, null without a prompt. */
fun callerFields(requestId: String, key: String, deadlineMs: Long, partId: String?): Headers {
    val fields = mutableListOf(
        "Request-Id" to requestId,
        "Authorization" to "Bearer $key",
        "Deadline-Ms" to "$deadlineMs",
    )
    if (partId != null) {
        fields += listOf("Model" to "m", "Token-Usage" to "1460,150", "Prefix-Hash" to "5c1e07a2:800,$partId:410")
    }
    return Headers.of(*fields.toTypedArray())
}

/** The id that the caller gave the request. */
val RequestHead.callerRequestId: String get() = headers["Request-Id"].orEmpty()

private const val POOL = "pool"
private const val GOAL_MS = 500

/** Records of the `orders` stream. */
package org.hickorytiller.orders

import com.fasterxml.jackson.annotation.JsonProperty
import com.fasterxml.jackson.annotation.JsonSubTypes
import com.fasterxml.jackson.annotation.JsonTypeInfo
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.StreamName
import org.hickorytiller.leases.Duty

/** Name of the stream. */
val ORDER_STREAM = StreamName("orders")

/** Version of the record formats that this code understands. */
const val ORDER_SCHEMA = 1

/** The duty of placing the orders of [failureDomain]. */
fun orderDuty(failureDomain: FailureDomain) = Duty("orders/$failureDomain")

/** Identifier of one order. */
@JvmInline
value class OrderId(val value: String) {
    override fun toString() = value
}

/** The action of an order. [START] and [STOP] are sent to the platform, the others to an engine. */
enum class OrderAction(val code: String) {
    @JsonProperty("start")
    START("start"),

    @JsonProperty("stop")
    STOP("stop"),

    @JsonProperty("load_model")
    LOAD_MODEL("load_model"),

    @JsonProperty("change_role")
    CHANGE_ROLE("change_role"),
}

/** Result of an order. */
enum class OrderResult(val code: String) {
    /** The order took effect. */
    @JsonProperty("placed")
    PLACED("placed"),

    /** The order certainly did not take effect. */
    @JsonProperty("not_placed")
    NOT_PLACED("not_placed"),

    /** The platform has no such server on offer in the failure domain. */
    @JsonProperty("no_offer")
    NO_OFFER("no_offer"),

    /** The receiver rejected the order. */
    @JsonProperty("refused")
    REFUSED("refused"),

    /** Cancelled before it was sent, since earlier intents exhaust the limits of the pool. */
    @JsonProperty("cancelled")
    CANCELLED("cancelled"),
}

/** A record of the stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes(
    JsonSubTypes.Type(OrderIntent::class, name = "OrderIntent"),
    JsonSubTypes.Type(OrderOutcome::class, name = "OrderOutcome"),
)
sealed interface OrderRecord {
    val orderId: String
    val schema: Int
}

/**
 * Announces an order; appended before the order is sent.
 *
 * @property count number of servers to start
 * @property backendServer server to stop, or engine that receives the order
 * @property subject model to load or role to change to
 */
data class OrderIntent(
    override val orderId: String,
    val failureDomain: String,
    val fencingToken: Long,
    val action: OrderAction,
    val count: Int,
    val pool: String,
    val reclaimable: Boolean = false,
    val backendServer: String = "",
    val subject: String = "",
    override val schema: Int = ORDER_SCHEMA,
) : OrderRecord

/** Settles an intent. Only the first outcome of an order is applied. */
data class OrderOutcome(
    override val orderId: String,
    val result: OrderResult,
    val detail: String = "",
    override val schema: Int = ORDER_SCHEMA,
) : OrderRecord

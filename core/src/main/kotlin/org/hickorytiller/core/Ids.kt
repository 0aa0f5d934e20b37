/**
 * Identifiers used by more than one module. Each is a value class, so that for example a customer name cannot be passed
 * where a class name is expected. Identifiers used by only one module are declared in that module.
 */
package org.hickorytiller.core

/** Name of a host of the deployment, unique and stable across restarts. */
@JvmInline
value class HostId(val value: String) {
    override fun toString() = value
}

/**
 * Identifier of one process run. Two processes on the same host, or two runs of the same process, never share it, so
 * state of a previous run is never mistaken for state of the current one.
 */
@JvmInline
value class ProcessId(val value: String) {
    override fun toString() = value
}

/** Name of a failure domain: all backend servers in it may be lost at once. */
@JvmInline
value class FailureDomain(val value: String) {
    override fun toString() = value
}

/** Name of a customer. Requests are billed to customers, and capacity is shared fairly between them. */
@JvmInline
value class CustomerId(val value: String) {
    override fun toString() = value
}

/** Name of a request class. */
@JvmInline
value class ClassId(val value: String) {
    override fun toString() = value
}

/** Name of one replica of a model engine or of a plain service. */
@JvmInline
value class BackendServerId(val value: String) {
    override fun toString() = value
}

/** Name of a model, as in the `model` field of a request. */
@JvmInline
value class ModelId(val value: String) {
    override fun toString() = value
}

/** Position of a record in a stream of the platform's log. Offsets grow by one for each record of a stream. */
@JvmInline
value class LogOffset(val value: Long) : Comparable<LogOffset> {
    override fun compareTo(other: LogOffset) = value.compareTo(other.value)

    override fun toString() = value.toString()

    /** Returns the offset of the next record. */
    fun next() = LogOffset(value + 1)

    companion object {
        /** The offset before the first record of any stream. */
        val NONE = LogOffset(-1)
    }
}

/** SHA-256 digest of a caller's key in lower-case hexadecimal. The key itself is never stored. */
@JvmInline
value class KeyHash(val value: String) {
    override fun toString() = value.take(SHOWN_DIGITS)

    private companion object {
        const val SHOWN_DIGITS = 12
    }
}

/** Name of a pool of interchangeable backend servers. */
@JvmInline
value class PoolId(val value: String) {
    override fun toString() = value
}

/** Name of a stream of the platform's log. */
@JvmInline
value class StreamName(val value: String) {
    override fun toString() = value
}

/** Priority of a class; a lower number is more urgent. */
@JvmInline
value class Tier(val value: Int) : Comparable<Tier> {
    override fun compareTo(other: Tier) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

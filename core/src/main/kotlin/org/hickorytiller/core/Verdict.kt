/**
 * The verdict on a request that did not end with a complete response. It determines whether a retry is safe and is part
 * of every error that a caller receives.
 */
package org.hickorytiller.core

/** Whether a request may have been executed by a backend server. */
enum class Verdict(val code: String) {
    /** No byte of the request reached a backend server; a retry is always safe. */
    NOT_RUN("not_run"),

    /** The request may or may not have been executed; only an idempotent request may be retried. */
    MAY_HAVE_RUN("may_have_run"),

    /** The request was executed; a retry would execute it twice. */
    RAN("ran"),
    ;

    /** Returns whether the request may be retried on another backend server without asking the caller. */
    fun allowsRetry(idempotent: Boolean): Boolean = this == NOT_RUN || (idempotent && this == MAY_HAVE_RUN)
}

/** The HTTP status codes in use, by their names in the HTTP standard. */
package org.hickorytiller.http

object HttpStatus {
    const val OK = 200
    const val NO_CONTENT = 204
    const val BAD_REQUEST = 400
    const val UNAUTHORIZED = 401
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val REQUEST_TIMEOUT = 408
    const val CONFLICT = 409
    const val CONTENT_TOO_LARGE = 413
    const val GONE = 410
    const val PRECONDITION_FAILED = 412
    const val EXPECTATION_FAILED = 417
    const val MISDIRECTED_REQUEST = 421
    const val UNPROCESSABLE_CONTENT = 422
    const val TOO_MANY_REQUESTS = 429
    const val HEADER_FIELDS_TOO_LARGE = 431
    const val INTERNAL_SERVER_ERROR = 500
    const val BAD_GATEWAY = 502
    const val SERVICE_UNAVAILABLE = 503
    const val GATEWAY_TIMEOUT = 504
    const val INSUFFICIENT_STORAGE = 507
}

// The HTTP status codes that this project sends or distinguishes in answers.

package org.gypsumturn.transport

/** HTTP status codes by name. */
public object HttpStatus {
    public const val OK: Int = 200
    public const val BAD_REQUEST: Int = 400
    public const val UNAUTHORIZED: Int = 401
    public const val NOT_FOUND: Int = 404
    public const val CONFLICT: Int = 409
    public const val GONE: Int = 410
    public const val PRECONDITION_FAILED: Int = 412
    public const val MISDIRECTED_REQUEST: Int = 421
    public const val TOO_MANY_REQUESTS: Int = 429
    public const val UNAVAILABLE: Int = 503
    public const val GATEWAY_TIMEOUT: Int = 504
}

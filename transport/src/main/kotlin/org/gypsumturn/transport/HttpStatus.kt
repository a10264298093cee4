// Status codes that this project sends or tells apart.

package org.gypsumturn.transport

/** Status codes by name. */
public object HttpStatus {
    public const val OK: Int = 200
    public const val BAD_REQUEST: Int = 400
    public const val NOT_FOUND: Int = 404
    public const val CONFLICT: Int = 409
    public const val GONE: Int = 410
    public const val PRECONDITION_FAILED: Int = 412
    public const val MISDIRECTED: Int = 421
    public const val TOO_MANY: Int = 429
    public const val UNAVAILABLE: Int = 503
    public const val GATEWAY_TIMEOUT: Int = 504
}

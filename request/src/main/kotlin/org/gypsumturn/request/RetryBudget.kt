// Bounds the extra load that retries put on a pool whose targets fail.

package org.gypsumturn.request

/** Tokens that may be saved up, so that a short fault after a quiet time can be retried at once. */
private const val MAX_TOKENS = 10.0

/** Tokens of a new pool, so that a fresh entry's first failed attempt can be retried; paid once, not by time. */
private const val INITIAL_TOKENS = 1.0

/** Token bucket that starts with one token: each first attempt earns [share] of a token, and each retry spends one. */
internal class RetryBudget(private val share: Double) {
    private var tokens = INITIAL_TOKENS

    /** Notes a first attempt. */
    fun earn() {
        tokens = minOf(MAX_TOKENS, tokens + share)
    }

    /** Spends a token; false if there is none. */
    fun spend(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}

// Bounds the extra load that retries put on a pool whose targets fail.

package org.gypsumturn.request

/** Tokens that may be saved up, so that a short fault after a quiet time can be retried at once. */
private const val MAX_TOKENS = 10.0

/** Tokens of a fresh bucket, so that the first failure of a fresh entry can be retried. */
private const val ADVANCE_TOKENS = 1.0

/**
 * Token bucket: each first attempt earns [share] of a token, and each retry spends one. A fresh bucket holds one token
 * in advance, which the first attempts pay back before they earn more, so that retries are never more than [share] of
 * the first attempts once these are as many as it takes to earn a token.
 */
internal class RetryBudget(private val share: Double) {
    private var tokens = ADVANCE_TOKENS
    private var owed = ADVANCE_TOKENS

    /** Notes a first attempt. */
    fun earn() {
        if (owed > 0) {
            owed -= share
        } else {
            tokens = minOf(MAX_TOKENS, tokens + share)
        }
    }

    /** Spends a token; false if there is none. */
    fun spend(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}

// Limits the extra load that retries put on a pool whose targets fail.

package org.gypsumturn.request

/** Largest number of saved tokens, which allows immediate retries in a short fault after a time without failures. */
private const val MAX_TOKENS = 10.0

/** Tokens of a new bucket, so that the first failure after the start of an entry can be retried. */
private const val ADVANCE_TOKENS = 1.0

/**
 * Token bucket for retries: each first attempt earns [share] of a token, and each retry spends one token. A new bucket
 * holds one token in advance, and the first attempts must pay it back before they earn more. Retries therefore never
 * exceed [share] of the first attempts, once there have been enough first attempts to earn one token.
 */
internal class RetryBudget(private val share: Double) {
    private var tokens = ADVANCE_TOKENS
    private var tokensOwed = ADVANCE_TOKENS

    /** Credits a first attempt. */
    fun earn() {
        if (tokensOwed > 0) {
            tokensOwed -= share
        } else {
            tokens = minOf(MAX_TOKENS, tokens + share)
        }
    }

    /** Spends a token for a retry. Returns false if there is none. */
    fun spend(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}

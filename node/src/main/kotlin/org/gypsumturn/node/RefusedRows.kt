// Rows whose writes the store has refused as invalid. Each of them is written alone from then on and with pauses, so
// that it does not hold up other rows.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowAddress

/** The rows of which no write has succeeded since the store refused one. Times are on the monotonic clock. */
internal class RefusedRows {
    private class Refusal(val firstMillis: Long) {
        var count = 0
        var retryAtMillis = firstMillis
    }

    private val refusals = HashMap<RowAddress, Refusal>()
    private var lastCommitMillis = Long.MIN_VALUE

    /** Whether [address] may be written only in a transaction of its own. */
    fun isRefused(address: RowAddress): Boolean = address in refusals

    /** Whether a write of [address] must wait at [nowMillis]. */
    fun isPaused(nowMillis: Long, address: RowAddress): Boolean =
        refusals[address]?.let { nowMillis < it.retryAtMillis } == true

    /** Records that [addresses] were written together. */
    fun onCommitted(nowMillis: Long, addresses: Collection<RowAddress>) {
        lastCommitMillis = nowMillis
        refusals -= addresses.toSet()
    }

    /** Records that a write of [addresses] was refused. If it was one row, that row is the cause. */
    fun onRefused(nowMillis: Long, addresses: Collection<RowAddress>) {
        addresses.forEach { address ->
            val refusal = refusals.getOrPut(address) { Refusal(nowMillis) }
            if (addresses.size > 1) return@forEach
            refusal.retryAtMillis = nowMillis + (RETRY_MILLIS shl minOf(refusal.count, MAX_DOUBLINGS))
            refusal.count++
        }
    }

    /**
     * Whether the store refuses [address] for good: several times when it was written alone, while the store has
     * accepted other rows.
     */
    fun isHopeless(address: RowAddress): Boolean =
        refusals[address]?.let { it.count >= MIN_REFUSALS && lastCommitMillis > it.firstMillis } == true

    private companion object {
        const val MIN_REFUSALS = 3

        /** Pause before a row is written again that was refused alone. It doubles so often with each refusal. */
        const val RETRY_MILLIS = 300L
        const val MAX_DOUBLINGS = 5
    }
}

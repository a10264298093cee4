// Evidence of whether the store answers this process at all, beside what a single feed tells.

package org.gypsumturn.node

/** When this process last reached the store. Times are on the steady clock, and may be read from any thread. */
public interface StoreContact {
    /** When the store last answered a call of any kind, directly or through another node. */
    public val lastAnswerMillis: Long

    /** When the newest call that has failed was sent; null if none has failed. */
    public val failedCallSentMillis: Long?
}

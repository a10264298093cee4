// Age of what a feed has told. A reader that has lost its feed does not see what is new, and must not answer as if
// there were nothing new.

package org.gypsumturn.node

/** Tracks when a feed last answered, against the bound [maxAgeMillis]. */
internal class FeedAge(private val maxAgeMillis: Long) {
    private var lastAnswerMillis: Long? = null

    /** Records an answer of the feed, with or without changes, at [nowMillis]. */
    fun recordAnswer(nowMillis: Long) {
        lastAnswerMillis = nowMillis
    }

    /** Whether the feed has answered within the bound before [nowMillis]. */
    fun isWithinBound(nowMillis: Long): Boolean = lastAnswerMillis?.let { nowMillis - it <= maxAgeMillis } ?: false
}

// Age of what a feed has told. A reader that has lost its feed does not see what is new, and must not answer as if
// there were nothing new.

package org.gypsumturn.node

/** Tracks up to which time the content of a feed is known, against the bound [maxAgeMillis]. */
internal class FeedAge(private val maxAgeMillis: Long) {
    /** Time up to which everything that was published is known; null before the first answer. */
    var asOfMillis: Long? = null
        private set

    /** Records that everything that was published until [asOfMillis] is known. */
    fun recordKnown(asOfMillis: Long) {
        this.asOfMillis = maxOf(this.asOfMillis ?: asOfMillis, asOfMillis)
    }

    /** Whether the content is known up to a time within the bound before [nowMillis]. */
    fun isWithinBound(nowMillis: Long): Boolean = asOfMillis?.let { nowMillis - it <= maxAgeMillis } ?: false
}

// The occurrences of a repeated job that are still to be added to memory. They follow from the number of occurrences
// and from those that are complete or in memory, so that a new holder finds the same ones, whichever had begun before.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.state.JobState

/** Occurrences of [job] that are neither complete nor in memory. */
internal class RemainingOccurrences(private val job: JobState) {
    /** Each occurrence with a lower number is complete or in memory. */
    private var lowest = 0

    /**
     * Returns the lowest number of a remaining occurrence. Returns null if there is none, or if more than
     * [MAX_PASSED_OVER] others have to be passed over first; the next call then goes on from there.
     */
    fun next(): Int? {
        val end = minOf(job.job.occurrences, lowest + MAX_PASSED_OVER)
        while (lowest < end && isKnown(lowest)) lowest++
        return lowest.takeIf { it < end }
    }

    private fun isKnown(number: Int) = number in job.occurrences || number in job.completedOccurrences

    private companion object {
        const val MAX_PASSED_OVER = 1_000
    }
}

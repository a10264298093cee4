// The stored rows of jobs and cancellations in the model, and how a holder of the control lease learns of them: it
// reads the partitions at different moments, and follows the changes from then on.

package org.gypsumturn.batch.check

import org.gypsumturn.model.JobId
import java.util.TreeSet

/** A row of [job], or of its cancellation. */
internal class ModelJobRow(val partition: Int, val job: JobId, val isCancellation: Boolean)

/** All rows in the order in which they were stored. A job and its cancellation may be in different partitions. */
internal class ModelJobRows {
    val all = ArrayList<ModelJobRow>()

    fun add(row: ModelJobRow) {
        all += row
    }

    fun isCancelled(job: JobId): Boolean = all.any { it.job == job && it.isCancellation }

    companion object {
        const val PARTITIONS = 2
    }
}

/** What one holder has read of [rows]. */
internal class ModelJobFeed(private val rows: ModelJobRows) {
    /** Whether its feed of changes gets no answers although all other calls to the store are answered. */
    var halted = false

    /** Partitions that are being read. */
    val openPartitions = TreeSet<Int>()
    private val readRows = ArrayList<ModelJobRow>()
    private var position = 0
    private var followsFromMillis = 0L

    /** Number of stored rows, and the time, when the first of the partitions was read. */
    private var firstReadPosition = 0
    private var firstReadMillis = 0L

    /** The time up to which all rows are known, and the time of the last answer that told rows. */
    var knownMillis = 0L
        private set
    var answeredMillis = 0L
        private set

    val isReading: Boolean get() = openPartitions.isNotEmpty()

    /** Begins to read all partitions. No changes are read meanwhile. */
    fun beginReading() {
        openPartitions += 0 until ModelJobRows.PARTITIONS
        readRows.clear()
        firstReadPosition = Int.MAX_VALUE
    }

    /** Reads [partition]. Returns the rows of all partitions if it was the last one, and null otherwise. */
    fun read(nowMillis: Long, partition: Int): List<ModelJobRow>? {
        if (!openPartitions.remove(partition)) return null
        readRows += rows.all.filter { it.partition == partition }
        if (firstReadPosition == Int.MAX_VALUE) {
            firstReadPosition = rows.all.size
            firstReadMillis = nowMillis
        }
        if (isReading) return null
        position = firstReadPosition
        knownMillis = firstReadMillis
        answeredMillis = nowMillis
        followsFromMillis = nowMillis + SLOW_ANSWER_MILLIS
        return readRows
    }

    /**
     * Returns the rows that were stored since the last call, unless the feed stands still. The first changes after a
     * reading arrive some time after its last answer.
     */
    fun follow(nowMillis: Long): List<ModelJobRow> {
        if (halted || isReading || nowMillis < followsFromMillis) return emptyList()
        knownMillis = nowMillis
        answeredMillis = nowMillis
        val changes = rows.all.drop(position)
        position = rows.all.size
        return changes
    }

    fun describe(nowMillis: Long, to: StringBuilder) {
        to.append(halted).append(openPartitions).append(position)
        if (nowMillis < followsFromMillis) to.append(followsFromMillis - nowMillis)
        if (halted || isReading) to.append(nowMillis - knownMillis).append(nowMillis - answeredMillis)
        if (isReading) to.append(firstReadPosition).append(readRows.size).append(nowMillis - firstReadMillis)
    }

    private companion object {
        /** Time that a call to a slow store takes. */
        const val SLOW_ANSWER_MILLIS = 500L
    }
}

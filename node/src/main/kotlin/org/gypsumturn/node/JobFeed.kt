// Follows the stored jobs and cancellations during one term of the lease, and tells up to which time they are known.
// The answer to a long poll may be lost or may not come for seconds while the store answers all other calls, so that a
// poll that is late is not waited for: another one is sent beside it. If none is answered although the store answers
// other calls, the rows are read instead.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** Receives what a [JobFeed] reads, on the thread of the session. */
internal interface JobFeedListener {
    /** Called with changed [rows], in the order of their revisions. */
    fun onRowsChanged(rows: List<StoredRow>)

    /**
     * Called with the [rows] that a reading of all of them has brought to light, after the store has discarded the
     * history of changes or while polls are not answered.
     */
    fun onRowsReadAgain(rows: List<StoredRow>)

    /** Called after the above. Everything that was stored until [asOfMillis] on the steady clock is known. */
    fun onKnown(asOfMillis: Long)

    /** Called with the result of a poll, unless a later one has been answered. */
    fun onPollResult(verdict: Verdict<*>)
}

/**
 * Polls the rows of jobs with a wait of [waitMillis]. All calls must be on the thread of the session.
 *
 * @param post runs an action on the thread of the session
 * @param postDelayed runs an action on the thread of the session after a delay in milliseconds
 * @param storeAnsweredMillis when the store last answered a call of any kind, on the clock of [nowMillis]
 */
internal class JobFeed(
    private val store: RowStore,
    private val waitMillis: Long,
    private val post: Post,
    private val postDelayed: DelayedPost,
    private val nowMillis: () -> Long,
    private val storeAnsweredMillis: () -> Long,
    private val listener: JobFeedListener,
) {
    private var position = Revision.ABSENT
    private var newestPoll = 0L
    private var openPolls = 0
    private var lastAnsweredPoll = 0L

    /** Number of the newest poll that had been sent when the last reading of all rows began. */
    private var lastPollBeforeReading = 0L

    /** When the last poll was answered, or the last reading began. */
    private var lastNewsMillis = 0L

    /** The reading of all rows that is under way; null if there is none. */
    private var reader: TakeoverReader? = null

    /** Whether polls go on beside [reader], since only the lack of their answers is the reason for it. */
    private var readsForSilence = false
    private var closed = false

    /** Follows the changes after [revision]. The first poll does not wait, as the rows may have been read long ago. */
    fun start(revision: Revision) {
        position = revision
        lastNewsMillis = nowMillis()
        poll(0)
    }

    /** Ends the feed. The listener is not called any more. */
    fun close() {
        closed = true
        reader?.cancelled = true
    }

    private fun poll(waitMillis: Long) {
        readRowsIfSilent()
        if (openPolls >= MAX_OPEN_POLLS) {
            val newest = newestPoll
            postDelayed(RETRY_MILLIS) { pollUnlessSuperseded(newest) }
            return
        }
        val number = ++newestPoll
        val sentMillis = nowMillis()
        openPolls++
        store.awaitChanges(JobRows.TABLE, position, waitMillis, waitMillis + POLL_TIMEOUT_MILLIS) { verdict ->
            post {
                openPolls--
                if (!closed) onAnswer(number, sentMillis, waitMillis, verdict)
            }
        }
        postDelayed(waitMillis + LATE_MILLIS) { pollUnlessSuperseded(number) }
    }

    /** Polls without a wait, unless a poll has been sent since poll [number]. */
    private fun pollUnlessSuperseded(number: Long) {
        if (!closed && number == newestPoll) poll(0)
    }

    private fun onAnswer(number: Long, sentMillis: Long, waitMillis: Long, verdict: Verdict<RowChanges>) {
        val changes = (verdict as? Verdict.Ran)?.value
        if (changes != null || number > lastAnsweredPoll) listener.onPollResult(verdict)
        if (changes != null) lastAnsweredPoll = maxOf(lastAnsweredPoll, number)
        when (changes) {
            is RowChanges.Known -> {
                lastNewsMillis = nowMillis()
                if (readsForSilence) endReading()
                // Another poll may have delivered the first ones of these rows.
                val rows = changes.rows.filter { it.revision > position }
                position = maxOf(position, changes.revision)
                if (rows.isNotEmpty()) listener.onRowsChanged(rows)
                listener.onKnown(knownUntilMillis(sentMillis, waitMillis, changes))
                if (number == newestPoll) poll(this.waitMillis)
            }

            // A poll that was superseded tells it too: if calls are slow, no poll is answered before the next is sent.
            RowChanges.Discarded -> if (number > lastPollBeforeReading) onDiscarded()

            null -> if (number == newestPoll) postDelayed(RETRY_MILLIS) { pollUnlessSuperseded(number) }
        }
    }

    /**
     * Time up to which [changes] are complete, as the answer to a poll that was sent at [sentMillis]. An answer with
     * changes is only known to be later than the sending; one without is given at the end of the wait.
     */
    private fun knownUntilMillis(sentMillis: Long, waitMillis: Long, changes: RowChanges.Known): Long {
        val waited = changes.rows.isEmpty() && nowMillis() - sentMillis >= waitMillis
        return if (waited) sentMillis + waitMillis else sentMillis
    }

    private fun onDiscarded() {
        logEvent("history discarded", "table" to JobRows.TABLE)
        endReading()
        // Open polls start after a revision that the history does not reach back to.
        lastPollBeforeReading = ++newestPoll
        readAll { start(position) }
    }

    /**
     * Reads the rows if the store has answered other calls for [MAX_SILENCE_MILLIS] after the last answer to a poll. In
     * an outage of the whole store nothing is read, as calls without an answer would keep connections from other calls.
     */
    private fun readRowsIfSilent() {
        if (reader != null || storeAnsweredMillis() - lastNewsMillis < MAX_SILENCE_MILLIS) return
        lastNewsMillis = nowMillis()
        readsForSilence = true
        logEvent("rows read without feed", "table" to JobRows.TABLE)
        readAll { }
    }

    private fun readAll(onRead: () -> Unit) {
        val startMillis = nowMillis()
        reader = TakeoverReader(store, post, postDelayed, onlyJobs = true) { stored ->
            if (!closed) {
                endReading()
                // What is below the position is known. A job that ended and expired while its page waited for the
                // others would be taken for a new one.
                listener.onRowsReadAgain(stored.jobRows.filter { it.revision > position })
                position = maxOf(position, stored.jobsRevision)
                listener.onKnown(startMillis)
                onRead()
            }
        }.also { it.start() }
    }

    private fun endReading() {
        reader?.cancelled = true
        reader = null
        readsForSilence = false
    }

    private companion object {
        /**
         * Time after the end of its wait at which a poll has failed, the same as of reads. With 700 ms each poll failed
         * while calls took that long, so that no task started although the lease was renewed.
         */
        const val POLL_TIMEOUT_MILLIS = 1_500L

        /** Polls that may be open at a time: those that are sent every [LATE_MILLIS] until the first one has failed. */
        const val MAX_OPEN_POLLS = 5

        /** Time after the end of its wait at which a poll is late and another one is sent. */
        const val LATE_MILLIS = 300L

        /**
         * Time without an answer to a poll after which the rows are read, and between two such readings. It is more
         * than a poll takes while calls take 0.7 s, and the knowledge of jobs is good for twice as long by default.
         */
        const val MAX_SILENCE_MILLIS = 1_200L

        /** Pause before a failed poll is repeated. */
        const val RETRY_MILLIS = 100L
    }
}

// Follows the updates of one kind that the operator and the executors publish, and tells up to which time they are
// known. The answer to a long poll may be lost or may not come for seconds while the store answers all other calls, so
// that a poll that is late is not waited for: another one is sent beside it.

package org.gypsumturn.node

import org.gypsumturn.batch.port.FleetUpdate
import org.gypsumturn.batch.port.FleetUpdateFeed
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.batch.port.FleetUpdatePage
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** Receives what a [FleetUpdateFollower] reads, on the thread of its owner. */
internal interface FleetUpdateListener {
    /** Called with [updates] that lead to the complete state, at the start and after a discarded history. */
    fun onAllRead(updates: List<FleetUpdate>)

    /** Called with the changes in their order. Some may have been told before, with all that have followed them. */
    fun onUpdates(updates: List<FleetUpdate>)

    /** Called after the above. Everything that was published until [asOfMillis] on the steady clock is known. */
    fun onKnown(asOfMillis: Long)

    /** Called with the result of a call, unless a later poll has been answered. */
    fun onCallResult(verdict: Verdict<*>)
}

/**
 * Reads and then polls the updates of [kind], with a wait of [waitMillis] and a pause of [gapMillis] between an answer
 * and the next poll. All calls must be on the thread of the owner.
 *
 * @param post runs an action on the thread of the owner
 * @param postDelayed runs an action on the thread of the owner after a delay in milliseconds
 */
internal class FleetUpdateFollower(
    private val updates: FleetUpdateFeed,
    private val kind: FleetUpdateKind,
    private val waitMillis: Long,
    private val gapMillis: Long,
    private val post: Post,
    private val postDelayed: DelayedPost,
    private val nowMillis: () -> Long,
    private val listener: FleetUpdateListener,
) {
    private var position = Revision.ABSENT
    private var newestPoll = 0L
    private var lastAnsweredPoll = 0L

    /** Polls up to this one were sent before the last reading of everything. Their answers are ignored. */
    private var lastOutdatedPoll = 0L
    private var closed = false

    /** Reads everything and follows the changes from then on. Failed calls are repeated until they succeed. */
    fun start() = readAll()

    /** Ends following. The listener is not called any more. */
    fun close() {
        closed = true
    }

    private fun readAll() {
        val sentMillis = nowMillis()
        updates.readAll(kind, READ_TIMEOUT_MILLIS) { verdict -> post { if (!closed) onAllRead(sentMillis, verdict) } }
    }

    private fun onAllRead(sentMillis: Long, verdict: Verdict<FleetUpdatePage>) {
        listener.onCallResult(verdict)
        val page = (verdict as? Verdict.Ran)?.value
        if (page == null) {
            postDelayed(RETRY_MILLIS) { if (!closed) readAll() }
            return
        }
        position = page.revision
        listener.onAllRead(page.updates.orEmpty())
        listener.onKnown(sentMillis)
        // The reading may have taken long, so that the first poll does not wait.
        poll(0)
    }

    private fun poll(waitMillis: Long) {
        val number = ++newestPoll
        val sentMillis = nowMillis()
        updates.awaitUpdates(kind, position, waitMillis, waitMillis + POLL_TIMEOUT_MILLIS) { verdict ->
            post { if (!closed) onAnswer(number, sentMillis, waitMillis, verdict) }
        }
        // The timeout of the polls bounds how many of them are open.
        postDelayed(waitMillis + LATE_MILLIS) { if (number > lastAnsweredPoll) pollUnlessSuperseded(number, 0) }
    }

    /** Polls with a wait of [waitMillis], unless a poll has been sent since poll [number]. */
    private fun pollUnlessSuperseded(number: Long, waitMillis: Long) {
        if (!closed && number == newestPoll && number > lastOutdatedPoll) poll(waitMillis)
    }

    private fun onAnswer(number: Long, sentMillis: Long, waitMillis: Long, verdict: Verdict<FleetUpdatePage>) {
        if (number <= lastOutdatedPoll) return
        val page = (verdict as? Verdict.Ran)?.value
        if (page != null || number > lastAnsweredPoll) listener.onCallResult(verdict)
        if (page == null) {
            postDelayed(RETRY_MILLIS) { pollUnlessSuperseded(number, 0) }
            return
        }
        lastAnsweredPoll = maxOf(lastAnsweredPoll, number)
        val changes = page.updates
        if (changes == null) {
            logEvent("history discarded", "table" to kind)
            lastOutdatedPoll = newestPoll
            readAll()
            return
        }
        // A poll that was overtaken by a later one tells nothing new.
        if (page.revision > position) {
            position = page.revision
            listener.onUpdates(changes)
        }
        listener.onKnown(knownUntilMillis(sentMillis, waitMillis, changes))
        postDelayed(gapMillis) { pollUnlessSuperseded(number, this.waitMillis) }
    }

    /**
     * Time up to which [changes] are complete, as the answer to a poll that was sent at [sentMillis]. An answer with
     * changes is only known to be later than the sending; one without is given at the end of the wait.
     */
    private fun knownUntilMillis(sentMillis: Long, waitMillis: Long, changes: List<FleetUpdate>): Long {
        val waited = changes.isEmpty() && nowMillis() - sentMillis >= waitMillis
        return if (waited) sentMillis + waitMillis else sentMillis
    }

    private companion object {
        /** Timeout of a reading of everything. */
        const val READ_TIMEOUT_MILLIS = 1_500L

        /**
         * Time after the end of its wait at which a poll has failed, the same as of a reading. With a shorter one no
         * poll succeeds while a call to the store takes longer than that.
         */
        const val POLL_TIMEOUT_MILLIS = 1_500L

        /** Time after the end of its wait at which a poll is late and another one is sent. */
        const val LATE_MILLIS = 250L

        /** Pause before a failed call is repeated. */
        const val RETRY_MILLIS = 100L
    }
}

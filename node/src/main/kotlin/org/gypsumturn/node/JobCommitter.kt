// Stores jobs and cancellations in groups: while one transaction is under way, what arrives waits for the next. Each
// node writes to a partition that few others use, so that a slow store takes many jobs with each of its few
// transactions. Writing a row again changes nothing, so a write without an answer is repeated until its caller's time
// is over.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/** Commits rows of one partition; its state belongs to the thread on which it is called. */
public class JobCommitter(
    private val store: RowStore,
    private val storeAway: (nowMillis: Long) -> Boolean,
    private val later: Later,
    private val nowMillis: () -> Long,
) {
    private class Entry(
        val write: RowWrite,
        val beganMillis: Long,
        val endMillis: Long,
        val done: (Verdict<Unit>) -> Unit,
    ) {
        /** Whether an earlier try may have taken effect. */
        var open = false
    }

    private val waiting = ArrayDeque<Entry>()
    private var writing = false
    private var pausedUntilMillis = 0L

    /**
     * Stores [write] and hands the verdict to [done] before [endMillis], as far as the store allows. While the store is
     * known to be away, the write is refused at once: it is not run, and the caller can come back.
     */
    public fun commit(write: RowWrite, endMillis: Long, done: (Verdict<Unit>) -> Unit) {
        val now = nowMillis()
        if (storeAway(now)) {
            done(Verdict.NotRun(Failure(FailureKind.NOT_READY, "the store is away")))
            return
        }
        waiting.addLast(Entry(write, now, endMillis, done))
        flush()
    }

    private fun flush() {
        val now = nowMillis()
        expire(now)
        if (writing || waiting.isEmpty() || now < pausedUntilMillis) return
        val group = ArrayList<Entry>()
        var bytes = 0
        while (waiting.isNotEmpty() && group.size < GROUP_ROWS && bytes < GROUP_BYTES) {
            val entry = waiting.removeFirst()
            bytes += entry.write.value?.size ?: 0
            group += entry
        }
        writing = true
        val timeoutMillis = minOf(WRITE_TIMEOUT_MILLIS, group.maxOf { it.endMillis } - now)
        store.transact(RowTransaction(emptyList(), group.map { it.write }), timeoutMillis) { answered(group, it) }
    }

    private fun answered(group: List<Entry>, verdict: Verdict<TransactionOutcome>) {
        writing = false
        when (verdict) {
            is Verdict.Ran -> group.forEach { it.done(Verdict.Ran(Unit)) }
            is Verdict.MayHaveRun -> again(group.onEach { it.open = true }, RETRY_MILLIS)
            is Verdict.NotRun -> refused(group, verdict)
        }
        flush()
    }

    /** A store that is busy may take the rows a moment later; one that refuses will not. */
    private fun refused(group: List<Entry>, verdict: Verdict.NotRun) {
        val busy = verdict.failure.kind == FailureKind.OVERLOADED
        val now = nowMillis()
        val (kept, given) = group.partition { it.open || (busy && now - it.beganMillis < BUSY_PATIENCE_MILLIS) }
        given.forEach { it.done(verdict) }
        if (kept.isNotEmpty()) again(kept, if (busy) BUSY_RETRY_MILLIS else RETRY_MILLIS)
    }

    private fun again(entries: List<Entry>, delayMillis: Long) {
        waiting.addAll(0, entries)
        pausedUntilMillis = nowMillis() + delayMillis
        later(delayMillis, ::flush)
    }

    private fun expire(now: Long) {
        val over = waiting.filter { it.endMillis - now < MIN_TRY_MILLIS }
        if (over.isEmpty()) return
        waiting.removeAll(over.toSet())
        over.forEach { entry ->
            val failure = Failure(FailureKind.TIMEOUT, "the store did not answer in time")
            entry.done(if (entry.open) Verdict.MayHaveRun(failure) else Verdict.NotRun(failure))
        }
    }

    private companion object {
        /** Rows of a group; a transaction takes a hundred entries. */
        const val GROUP_ROWS = 90

        /** Bytes of a group before its last row; a transaction takes a million, with a third more for their coding. */
        const val GROUP_BYTES = 600_000

        /** Longest wait for a write: a slow store's transaction takes above a second. */
        const val WRITE_TIMEOUT_MILLIS = 1_500L

        /** A try with less time than a transaction and two ways can't succeed. */
        const val MIN_TRY_MILLIS = 12L

        /** Pause before a write is repeated. */
        const val RETRY_MILLIS = 50L

        /** The same when the partition has more than a second of transactions waiting. */
        const val BUSY_RETRY_MILLIS = 150L

        /** How long a busy store is asked again before the caller is refused. */
        const val BUSY_PATIENCE_MILLIS = 1_200L
    }
}

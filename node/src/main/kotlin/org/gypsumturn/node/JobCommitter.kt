// Stores jobs and cancellations in groups. Rows that arrive while a transaction is open go into the next one. Each node
// writes to a partition that few others use, so that a slow store with few transactions still takes many jobs. Writing
// a row again has no further effect, so that a write without an answer is repeated until the deadline of its caller.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/**
 * Commits rows of one partition. All calls and callbacks must be on one thread.
 *
 * @param isStoreUnreachable whether calls to the store are known to fail
 * @param postDelayed runs retries on the thread of the calls
 * @param nowMillis reads the monotonic clock
 */
public class JobCommitter(
    private val store: RowStore,
    private val isStoreUnreachable: (nowMillis: Long) -> Boolean,
    private val postDelayed: DelayedPost,
    private val nowMillis: () -> Long,
) {
    private class PendingWrite(
        val write: RowWrite,
        val addedMillis: Long,
        val deadlineMillis: Long,
        val onVerdict: (Verdict<Unit>) -> Unit,
    ) {
        /** Whether an earlier attempt may have taken effect. */
        var open = false
    }

    private val pendingWrites = ArrayDeque<PendingWrite>()
    private var writing = false
    private var pausedUntilMillis = 0L

    /**
     * Stores [write] and calls [onVerdict] with the result, if possible before [deadlineMillis] on the monotonic clock.
     * While the store is known to be unreachable, the write is rejected at once without an attempt, so that the caller
     * can try again later.
     */
    public fun commit(write: RowWrite, deadlineMillis: Long, onVerdict: (Verdict<Unit>) -> Unit) {
        val now = nowMillis()
        if (isStoreUnreachable(now)) {
            onVerdict(
                Verdict.NotRun(Failure(FailureKind.NOT_READY, "the store is unreachable; the write was not attempted")),
            )
            return
        }
        pendingWrites.addLast(PendingWrite(write, now, deadlineMillis, onVerdict))
        writeNextGroup()
    }

    private fun writeNextGroup() {
        val now = nowMillis()
        endExpiredWrites(now)
        if (writing || pendingWrites.isEmpty() || now < pausedUntilMillis) return
        val group = ArrayList<PendingWrite>()
        var bytes = 0
        while (pendingWrites.isNotEmpty() && group.size < MAX_GROUP_ROWS && bytes < MAX_GROUP_BYTES) {
            val pendingWrite = pendingWrites.removeFirst()
            bytes += pendingWrite.write.value?.size ?: 0
            group += pendingWrite
        }
        writing = true
        val timeoutMillis = minOf(WRITE_TIMEOUT_MILLIS, group.maxOf { it.deadlineMillis } - now)
        store.transact(RowTransaction(emptyList(), group.map { it.write }), timeoutMillis) { onAnswer(group, it) }
    }

    private fun onAnswer(group: List<PendingWrite>, verdict: Verdict<TransactionOutcome>) {
        writing = false
        when (verdict) {
            is Verdict.Ran -> group.forEach { it.onVerdict(Verdict.Ran(Unit)) }
            is Verdict.MayHaveRun -> scheduleRetry(group.onEach { it.open = true }, RETRY_MILLIS)
            is Verdict.NotRun -> onRefused(group, verdict)
        }
        writeNextGroup()
    }

    /**
     * The store has not run the transaction. Writes are retried if the store is only busy, or if an earlier attempt may
     * have taken effect. All others are rejected.
     */
    private fun onRefused(group: List<PendingWrite>, verdict: Verdict.NotRun) {
        val busy = verdict.failure.kind == FailureKind.OVERLOADED
        val now = nowMillis()
        val (retried, rejected) = group.partition {
            it.open || (busy && now - it.addedMillis < BUSY_RETRY_PERIOD_MILLIS)
        }
        rejected.forEach { it.onVerdict(verdict) }
        if (retried.isNotEmpty()) scheduleRetry(retried, if (busy) BUSY_RETRY_MILLIS else RETRY_MILLIS)
    }

    private fun scheduleRetry(writes: List<PendingWrite>, delayMillis: Long) {
        pendingWrites.addAll(0, writes)
        pausedUntilMillis = nowMillis() + delayMillis
        postDelayed(delayMillis, ::writeNextGroup)
    }

    private fun endExpiredWrites(now: Long) {
        val expired = pendingWrites.filter { it.deadlineMillis - now < MIN_ATTEMPT_MILLIS }
        if (expired.isEmpty()) return
        pendingWrites.removeAll(expired.toSet())
        expired.forEach { pendingWrite ->
            val failure = Failure(FailureKind.TIMEOUT, "the store did not answer before the caller's deadline")
            pendingWrite.onVerdict(if (pendingWrite.open) Verdict.MayHaveRun(failure) else Verdict.NotRun(failure))
        }
    }

    private companion object {
        /** Rows of a group at most. A transaction of the store takes 100 entries. */
        const val MAX_GROUP_ROWS = 90

        /**
         * A group takes another row while it has fewer bytes than this. A transaction of the store takes a million
         * bytes, and the encoding of the values makes them a third larger.
         */
        const val MAX_GROUP_BYTES = 600_000

        /** Timeout of a write. A transaction of a slow store takes more than a second. */
        const val WRITE_TIMEOUT_MILLIS = 1_500L

        /** Least time before the deadline for an attempt. A transaction and a round trip take at least this long. */
        const val MIN_ATTEMPT_MILLIS = 12L

        /** Pause before a failed write is repeated. */
        const val RETRY_MILLIS = 50L

        /** Pause before a write is repeated when the store is busy, with more than a second of queued transactions. */
        const val BUSY_RETRY_MILLIS = 150L

        /** How long writes are repeated while the store is busy. After that they are rejected. */
        const val BUSY_RETRY_PERIOD_MILLIS = 1_200L
    }
}

// Handles the requests of callers on any node. Jobs and cancellations are stored by this node. The states of jobs come
// from the holder of the control lease, or from the stored rows if the holder can't be reached.

package org.gypsumturn.node

import org.gypsumturn.batch.desk.CallerAnswer
import org.gypsumturn.batch.desk.JobRequestHandler
import org.gypsumturn.batch.desk.RouteResult
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.JobLimits
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.state.CancellationCaller
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.StoredCancellation
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.WorkspaceId
import org.gypsumturn.model.failureOrNull
import org.gypsumturn.model.map

/**
 * Queries to the holder of the control lease, whichever process that is. A query to another process fails after
 * `timeoutMillis` milliseconds.
 */
public interface HolderQueries {
    /** Replies with what the holder knows of job [id], or with null if it can't be reached or is not ready. */
    public fun queryState(id: JobId, timeoutMillis: Long, reply: (HolderAnswer?) -> Unit)

    /**
     * Replies with the number of jobs of [queue] of which no task has been started, or with null if the holder can't be
     * reached or is not ready.
     */
    public fun countPending(queue: Queue, timeoutMillis: Long, reply: (Int?) -> Unit)
}

/** What the holder of the control lease knows of a job. */
public sealed interface HolderAnswer {
    /** Whether cancellations of jobs that are not found may be stored; otherwise the holder has too many of them. */
    public val acceptsCancellations: Boolean

    /** The holder has the job of [workspace], and callers may see that it is in [phase]. */
    public data class State(
        public val phase: JobPhase,
        public val workspace: WorkspaceId?,
        override val acceptsCancellations: Boolean = true,
    ) : HolderAnswer

    /** The holder does not have the job. It may still be stored, if the holder has not read it yet. */
    public data class NoJob(override val acceptsCancellations: Boolean = true) : HolderAnswer
}

/**
 * Handles the requests of callers to one node. All calls must be on one thread.
 *
 * @param partition partition in which this node stores jobs and cancellations
 * @param limits limits on the jobs that are accepted
 * @param notifyHolder tells the lease holder of a cancellation that has been stored, after the caller's answer
 * @param nowMillis reads the monotonic clock
 */
public class NodeJobRequestHandler(
    private val configuration: () -> FleetConfiguration?,
    private val store: RowStore,
    private val holder: HolderQueries,
    private val committer: JobCommitter,
    private val partition: String,
    private val limits: JobLimits,
    private val metrics: NodeMetrics,
    private val notifyHolder: (CancellationNotice) -> Unit = { },
    private val nowMillis: () -> Long = NodeClock::steadyMillis,
) : JobRequestHandler {
    override fun route(host: String, path: String): RouteResult {
        val current = configuration() ?: return RouteResult.NotConfigured
        val queue = current.route(host, path) ?: return RouteResult.Unknown
        return RouteResult.Found(queue, current.workspaces.takeUnless { queue.isPublic })
    }

    override fun submit(queue: Queue, job: BatchJob, deadlineMillis: Long, reply: (CallerAnswer) -> Unit) {
        val row = JobRows.encode(job)
        limits.exceededBy(job, row.size, queue.maxAttempts)?.let { exceeded ->
            logEvent("submit", "job" to job.id, "outcome" to "Invalid", "why" to exceeded)
            reply(CallerAnswer.Invalid(exceeded))
            return
        }
        val write = RowWrite(JobRows.job(job.id, partition), row)
        commit(CallerCall("submit", job.id, nowMillis(), deadlineMillis), write, CallerAnswer.Accepted, reply)
    }

    /**
     * Stores the cancellation also if the job is not found, since its submission may be under way at another node or in
     * the store. In that case the holder decides whether the caller may cancel the job, once it reads the job. The
     * answer is the same for a job that does not exist and for a job of another workspace.
     */
    override fun cancel(
        queue: Queue,
        id: JobId,
        workspace: WorkspaceId?,
        deadlineMillis: Long,
        reply: (CallerAnswer) -> Unit,
    ) {
        val call = CallerCall("cancel", id, nowMillis(), deadlineMillis)
        lookUp(id, workspace, deadlineMillis) { result ->
            when (result) {
                LookUp.Unreadable -> reply(refuse(call, CallerAnswer.Cause.NOT_READY, "a partition can't be read"))

                LookUp.Found -> {
                    commitCancellation(call, StoredCancellation.CHECKED, CallerAnswer.CancelStored, reply)
                }

                is LookUp.NotFound -> cancelUnknown(call, CancellationCaller(queue, workspace), result, reply)
            }
        }
    }

    private fun cancelUnknown(
        call: CallerCall,
        caller: CancellationCaller,
        lookUp: LookUp.NotFound,
        reply: (CallerAnswer) -> Unit,
    ) {
        logEvent(
            "cancel without job",
            "job" to call.id,
            "workspace" to caller.workspace,
            "looked_at" to lookUp.source,
            "look_up_ms" to nowMillis() - call.startMillis,
            "accepted" to lookUp.acceptsCancellations,
        )
        if (!lookUp.acceptsCancellations) {
            reply(refuse(call, CallerAnswer.Cause.OVERLOADED, "too many cancellations without a job"))
            return
        }
        commitCancellation(call, StoredCancellation(caller), CallerAnswer.NoSuchJob, reply)
    }

    private fun commitCancellation(
        call: CallerCall,
        content: StoredCancellation,
        success: CallerAnswer,
        reply: (CallerAnswer) -> Unit,
    ) {
        val write = RowWrite(JobRows.cancellation(call.id, partition, content.caller), content.encode())
        commit(call, write, success) { answer ->
            reply(answer)
            if (answer == success) notifyHolder(CancellationNotice(call.id, partition, content))
        }
    }

    /** Result of looking a job up, as far as the caller may know of it. */
    private sealed interface LookUp {
        data object Found : LookUp

        /** [source] names what was looked at. */
        class NotFound(val source: String, val acceptsCancellations: Boolean) : LookUp

        data object Unreadable : LookUp
    }

    private fun lookUp(id: JobId, workspace: WorkspaceId?, deadlineMillis: Long, onResult: (LookUp) -> Unit) {
        holder.queryState(id, minOf(deadlineMillis, HOLDER_TIMEOUT_MILLIS)) { answer ->
            val accepts = answer?.acceptsCancellations ?: true
            if (answer is HolderAnswer.State) {
                val isVisible = isVisible(answer.workspace, workspace)
                onResult(if (isVisible) LookUp.Found else LookUp.NotFound("holder", accepts))
            } else {
                val source = if (answer == null) "stored rows" else "holder and stored rows"
                isStored(id, workspace, deadlineMillis) { stored ->
                    onResult(
                        when (stored) {
                            null -> LookUp.Unreadable
                            true -> LookUp.Found
                            false -> LookUp.NotFound(source, accepts)
                        },
                    )
                }
            }
        }
    }

    override fun queryState(id: JobId, workspace: WorkspaceId?, deadlineMillis: Long, reply: (CallerAnswer) -> Unit) {
        holder.queryState(id, minOf(deadlineMillis, HOLDER_TIMEOUT_MILLIS)) { answer ->
            when (answer) {
                is HolderAnswer.State -> reply(
                    if (isVisible(answer.workspace, workspace)) {
                        CallerAnswer.State(answer.phase)
                    } else {
                        CallerAnswer.NoSuchJob
                    },
                )

                is HolderAnswer.NoJob -> replyWithStateOfStored(id, workspace, JobPhase.QUEUED, deadlineMillis, reply)

                null -> replyWithStoredProgress(id, workspace, deadlineMillis, reply)
            }
        }
    }

    /** Whether a caller of workspace [caller] may know of a job of workspace [owner]. Null stands for any caller. */
    private fun isVisible(owner: WorkspaceId?, caller: WorkspaceId?): Boolean =
        owner == null || caller == null || owner == caller

    override fun countPending(queue: Queue, deadlineMillis: Long, reply: (CallerAnswer) -> Unit) {
        holder.countPending(queue, minOf(deadlineMillis, HOLDER_TIMEOUT_MILLIS)) { count ->
            val refusal = CallerAnswer.NotAccepted(CallerAnswer.Cause.NOT_READY, RETRY_AFTER_MILLIS)
            reply(count?.let { CallerAnswer.Pending(it) } ?: refusal)
        }
    }

    private fun replyWithStoredProgress(
        id: JobId,
        workspace: WorkspaceId?,
        deadlineMillis: Long,
        reply: (CallerAnswer) -> Unit,
    ) {
        readRow(JobRows.progress(id), deadlineMillis) { verdict ->
            val phase = (verdict as? Verdict.Ran)?.value?.value?.let { ProgressRecord.decode(it).phase }
            when {
                verdict !is Verdict.Ran -> reply(CallerAnswer.NotAccepted(CallerAnswer.Cause.NOT_READY, null))

                phase != null && workspace == null -> reply(CallerAnswer.State(phase))

                // The row of the progress does not tell whose job it is.
                else -> replyWithStateOfStored(id, workspace, phase ?: JobPhase.QUEUED, deadlineMillis, reply)
            }
        }
    }

    /** Replies that the job is in [phase] if it is stored, and that it does not exist otherwise. */
    private fun replyWithStateOfStored(
        id: JobId,
        workspace: WorkspaceId?,
        phase: JobPhase,
        deadlineMillis: Long,
        reply: (CallerAnswer) -> Unit,
    ) {
        isStored(id, workspace, deadlineMillis) { stored ->
            reply(
                when (stored) {
                    null -> CallerAnswer.NotAccepted(CallerAnswer.Cause.NOT_READY, null)
                    true -> CallerAnswer.State(phase)
                    false -> CallerAnswer.NoSuchJob
                },
            )
        }
    }

    /**
     * Tells whether job [id] is stored and [workspace] may know of it. Any node may have accepted it, so that all
     * partitions are read. Null if the job was not found and a partition could not be read.
     */
    private fun isStored(id: JobId, workspace: WorkspaceId?, deadlineMillis: Long, onResult: (Boolean?) -> Unit) {
        var open = JobRows.partitions.size
        var isFound = false
        var readFailed = false
        JobRows.partitions.forEach { partition ->
            readRow(JobRows.job(id, partition), deadlineMillis) { verdict ->
                if (verdict is Verdict.Ran) {
                    isFound = isFound || verdict.value?.value?.let { isVisible(ownerOf(it), workspace) } == true
                } else {
                    readFailed = true
                }
                open--
                if (open == 0) onResult(if (isFound || !readFailed) isFound else null)
            }
        }
    }

    /** The workspace of the job in the row [value]; null also for a row that can't be read, which nobody can own. */
    private fun ownerOf(value: ByteArray): WorkspaceId? = try {
        JobRows.decode(value).workspace
    } catch (e: IllegalArgumentException) {
        logEvent("row unreadable", "table" to JobRows.TABLE, "why" to e.message)
        null
    }

    private fun readRow(address: RowAddress, deadlineMillis: Long, onResult: (Verdict<StoredRow?>) -> Unit) {
        val timeoutMillis = minOf(deadlineMillis, READ_TIMEOUT_MILLIS)
        store.read(address.table, address.partition, address.key, 1, timeoutMillis) { verdict ->
            onResult(verdict.map { page -> page.rows.firstOrNull { it.address == address } })
        }
    }

    /** A request about job [id] that arrived at [startMillis] and whose caller waits for [deadlineMillis]. */
    private class CallerCall(val name: String, val id: JobId, val startMillis: Long, val deadlineMillis: Long)

    /**
     * Stores [write] and replies with [success] once it is stored. The write is repeated for almost as long as the
     * caller waits, but never for longer than [MAX_COMMIT_MILLIS], so that a cancellation outlives it. A look-up before
     * it does not shorten this time, since a cancellation is of use also if its answer comes too late.
     */
    private fun commit(call: CallerCall, write: RowWrite, success: CallerAnswer, reply: (CallerAnswer) -> Unit) {
        val timeoutMillis = minOf(call.deadlineMillis - replyMarginMillis(call.deadlineMillis), MAX_COMMIT_MILLIS)
        committer.commit(write, nowMillis() + timeoutMillis) { verdict ->
            val answer = when (verdict) {
                is Verdict.Ran -> success
                is Verdict.MayHaveRun -> CallerAnswer.Unknown
                is Verdict.NotRun -> CallerAnswer.NotAccepted(causeOf(verdict.failure), RETRY_AFTER_MILLIS)
            }
            record(call, answer, verdict.failureOrNull()?.message)
            reply(answer)
        }
    }

    private fun refuse(call: CallerCall, cause: CallerAnswer.Cause, reason: String): CallerAnswer =
        CallerAnswer.NotAccepted(cause, RETRY_AFTER_MILLIS).also { record(call, it, reason) }

    private fun record(call: CallerCall, answer: CallerAnswer, reason: String?) {
        val tookMillis = nowMillis() - call.startMillis
        logEvent(
            call.name,
            "job" to call.id,
            "outcome" to answer.javaClass.simpleName,
            "why" to reason,
            "config" to configuration()?.version,
            "took_ms" to tookMillis,
        )
        metrics.recordAnswer(call.name, answer, tookMillis)
    }

    private fun replyMarginMillis(deadlineMillis: Long) =
        minOf(MAX_REPLY_MARGIN_MILLIS, deadlineMillis / REPLY_MARGIN_DIVISOR)

    private fun causeOf(failure: Failure): CallerAnswer.Cause =
        if (failure.kind == FailureKind.OVERLOADED) CallerAnswer.Cause.OVERLOADED else CallerAnswer.Cause.NOT_READY

    private companion object {
        /** Time before a caller's deadline that is left for the reply: this, or the deadline divided by the divisor. */
        const val MAX_REPLY_MARGIN_MILLIS = 100L
        const val REPLY_MARGIN_DIVISOR = 5

        /**
         * Longest time for which a write is repeated, whatever deadline the caller sends. Cancellations of jobs that
         * are not known are kept for [org.gypsumturn.batch.schedule.SchedulerSettings.endedJobKeptMillis], which is
         * more than 30 s and so leaves time for a store that performs a write late.
         */
        const val MAX_COMMIT_MILLIS = 10_000L

        /** Timeout of reading one row. */
        const val READ_TIMEOUT_MILLIS = 1_000L

        /** Timeout of a query to the holder. The stored rows are read after it. */
        const val HOLDER_TIMEOUT_MILLIS = 500L

        /** When callers should try again after a refusal. The header that carries this has whole seconds. */
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}

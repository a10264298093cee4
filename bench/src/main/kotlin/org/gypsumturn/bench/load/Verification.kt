// Counts the broken promises of a run by comparing the outcomes that callers got with what targets and workers have
// run.

package org.gypsumturn.bench.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.gypsumturn.model.JobState
import org.gypsumturn.model.isFinal

/** How often each request and each job was run, by id, and the ids of the executions that a reboot cut short. */
public data class Executions(
    public val requests: Map<String, Int>,
    public val jobs: Map<String, Int>,
    public val interrupted: List<String>,
)

/**
 * Counts of one kind of calls.
 *
 * @property lost calls that were owed a verdict and got none, and accepted jobs that did not end
 * @property doubled calls that must run at most once, but ran more often
 * @property crossed answers that belong to another call, or to no execution
 * @property falselyNotRun calls that ran although their caller was told that they did not
 */
@Serializable
public data class LoadCounts(
    public val kind: String,
    public val sent: Int,
    public val answered: Int,
    public val notRun: Int,
    public val mayHaveRun: Int,
    public val lost: Int,
    public val doubled: Int,
    public val crossed: Int,
    public val falselyNotRun: Int,
    public val p50Millis: Long,
    public val p99Millis: Long,
) {
    /** Whether every promise to callers was kept. */
    public val holds: Boolean get() = lost == 0 && doubled == 0 && crossed == 0 && falselyNotRun == 0
}

/** The outcome of a call for its caller, with its executions. */
private class VerifiedCall(
    val outcome: CallOutcome,
    val executionCount: Int,
    val mayRepeat: Boolean,
    val hasOwnAnswer: Boolean,
    val latencyMillis: Long,
)

/** Counts the requests of [kind] in [sent]. */
public fun countRequests(kind: CallKind, sent: List<SentRequest>, executions: Executions): LoadCounts {
    val verifiedCalls = sent.filter { it.request.kind == kind }.map { (request, call) ->
        val hasOwnAnswer = (call.history.last() as? Reply.Ran)?.let { isOwnAnswer(request, it.body) } ?: true
        val executionCount = executions.requests[request.id] ?: 0
        VerifiedCall(call.outcome, executionCount, kind == CallKind.IDEMPOTENT, hasOwnAnswer, call.latencyMillis)
    }
    return countCalls("${kind.name.lowercase()} requests", verifiedCalls)
}

/** Counts [jobs]. An accepted job that has not ended counts as lost. */
public fun countJobs(jobs: List<SubmittedJob>, executions: Executions): LoadCounts {
    val verifiedCalls = jobs.map { job ->
        val executionCount = executions.jobs[job.spec.id.value] ?: 0
        VerifiedCall(
            outcomeOf(job),
            executionCount,
            job.spec.idempotent,
            hasOwnOutput(job),
            job.doneMillis ?: job.submission.latencyMillis,
        )
    }
    return countCalls("jobs", verifiedCalls)
}

/** Whether [body] is the answer of a target to [request]. */
internal fun isOwnAnswer(request: PlannedRequest, body: String): Boolean {
    val lines = body.lines()
    return "request=${request.id}" in lines && "key=${request.id}" in lines && "body=${request.payload}" in lines
}

private fun outcomeOf(job: SubmittedJob): CallOutcome = when {
    job.submission.outcome != CallOutcome.ANSWERED -> job.submission.outcome
    job.record?.state?.isFinal != true -> CallOutcome.LOST
    job.record.state == JobState.MAY_HAVE_RUN -> CallOutcome.MAY_HAVE_RUN
    else -> CallOutcome.ANSWERED
}

private fun hasOwnOutput(job: SubmittedJob): Boolean =
    job.record?.state != JobState.FINISHED || job.record.output == "done ${job.spec.id}"

private fun countCalls(kind: String, calls: List<VerifiedCall>): LoadCounts {
    val latencies = Histogram(3)
    calls.filter {
        it.outcome == CallOutcome.ANSWERED
    }.forEach { latencies.recordValue(it.latencyMillis.coerceAtLeast(0)) }
    return LoadCounts(
        kind = kind,
        sent = calls.size,
        answered = calls.count { it.outcome == CallOutcome.ANSWERED },
        notRun = calls.count { it.outcome == CallOutcome.NOT_RUN },
        mayHaveRun = calls.count { it.outcome == CallOutcome.MAY_HAVE_RUN },
        lost = calls.count { it.outcome == CallOutcome.LOST },
        doubled = calls.count { !it.mayRepeat && it.executionCount > 1 },
        crossed = calls.count { !it.hasOwnAnswer || (it.outcome == CallOutcome.ANSWERED && it.executionCount == 0) },
        falselyNotRun = calls.count { it.outcome == CallOutcome.NOT_RUN && it.executionCount > 0 },
        p50Millis = latencies.getValueAtPercentile(50.0),
        p99Millis = latencies.getValueAtPercentile(99.0),
    )
}

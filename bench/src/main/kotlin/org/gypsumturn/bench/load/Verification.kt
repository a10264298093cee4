// Compares what callers were told with what the targets and workers have run.

package org.gypsumturn.bench.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.gypsumturn.model.JobState
import org.gypsumturn.model.isFinal

/** How often each request and each job was run, and the keys that a reboot cut. */
public data class Executions(
    public val requests: Map<String, Int>,
    public val jobs: Map<String, Int>,
    public val interrupted: List<String>,
)

/**
 * Counts of one kind of calls.
 *
 * @property lost calls that were owed a verdict and got none, and accepted jobs that did not end
 * @property doubled calls that ran more than once against their caller's will
 * @property crossed answers that do not belong to the call, or that no execution stands behind
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

/** One call as it is judged. */
private class Judged(
    val end: CallEnd,
    val times: Int,
    val repeatable: Boolean,
    val own: Boolean,
    val latencyMillis: Long,
)

/** Counts the requests of [kind] in [sent]. */
public fun countRequests(kind: CallKind, sent: List<SentRequest>, executions: Executions): LoadCounts {
    val judged = sent.filter { it.request.kind == kind }.map { (request, call) ->
        val own = (call.history.last() as? Reply.Ran)?.let { isOwnAnswer(request, it.body) } ?: true
        val times = executions.requests[request.id] ?: 0
        Judged(call.end, times, kind == CallKind.IDEMPOTENT, own, call.latencyMillis)
    }
    return count("${kind.name.lowercase()} requests", judged)
}

/** Counts [jobs]. An accepted job without an end is lost. */
public fun countJobs(jobs: List<SubmittedJob>, executions: Executions): LoadCounts {
    val judged = jobs.map { job ->
        val times = executions.jobs[job.spec.id.value] ?: 0
        Judged(endOf(job), times, job.spec.idempotent, isOwnEnd(job), job.doneMillis ?: job.submission.latencyMillis)
    }
    return count("jobs", judged)
}

/** Whether [body] is the answer of a target to [request]. */
internal fun isOwnAnswer(request: PlannedRequest, body: String): Boolean {
    val lines = body.lines()
    return "request=${request.id}" in lines && "key=${request.id}" in lines && "body=${request.payload}" in lines
}

private fun endOf(job: SubmittedJob): CallEnd = when {
    job.submission.end != CallEnd.ANSWERED -> job.submission.end
    job.record?.state?.isFinal != true -> CallEnd.LOST
    job.record.state == JobState.MAY_HAVE_RUN -> CallEnd.MAY_HAVE_RUN
    else -> CallEnd.ANSWERED
}

private fun isOwnEnd(job: SubmittedJob): Boolean =
    job.record?.state != JobState.FINISHED || job.record.output == "done ${job.spec.id}"

private fun count(kind: String, calls: List<Judged>): LoadCounts {
    val latencies = Histogram(3)
    calls.filter { it.end == CallEnd.ANSWERED }.forEach { latencies.recordValue(it.latencyMillis.coerceAtLeast(0)) }
    return LoadCounts(
        kind = kind,
        sent = calls.size,
        answered = calls.count { it.end == CallEnd.ANSWERED },
        notRun = calls.count { it.end == CallEnd.NOT_RUN },
        mayHaveRun = calls.count { it.end == CallEnd.MAY_HAVE_RUN },
        lost = calls.count { it.end == CallEnd.LOST },
        doubled = calls.count { !it.repeatable && it.times > 1 },
        crossed = calls.count { !it.own || (it.end == CallEnd.ANSWERED && it.times == 0) },
        falselyNotRun = calls.count { it.end == CallEnd.NOT_RUN && it.times > 0 },
        p50Millis = latencies.getValueAtPercentile(50.0),
        p99Millis = latencies.getValueAtPercentile(99.0),
    )
}

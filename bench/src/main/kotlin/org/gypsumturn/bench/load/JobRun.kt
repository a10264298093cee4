// Submits jobs and watches each accepted one until it ends.

package org.gypsumturn.bench.load

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.isFinal
import java.util.concurrent.TimeUnit

/** A job, how its submission ended, and its record as last seen; [doneMillis] from submission to its seen end. */
public data class SubmittedJob(
    public val spec: JobSpec,
    public val submission: FinishedCall,
    public val record: JobRecord? = null,
    public val doneMillis: Long? = null,
)

private const val POLL_PAUSE_MILLIS = 100L

/** Submits [jobs] evenly over the run, and waits for their ends. */
internal class JobRun(private val options: LoadOptions, private val caller: Caller) {
    private val json = Json { ignoreUnknownKeys = true }

    fun run(jobs: List<JobSpec>): List<SubmittedJob> {
        if (jobs.isEmpty()) return emptyList()
        val startNanos = System.nanoTime()
        val spanNanos = TimeUnit.MILLISECONDS.toNanos(minOf(options.durationMillis, expectedRequestMillis()))
        val submittedNanos = LongArray(jobs.size)
        val submitted = jobs.mapIndexed { index, spec ->
            val dueNanos = startNanos + spanNanos * index / jobs.size
            TimeUnit.NANOSECONDS.sleep((dueNanos - System.nanoTime()).coerceAtLeast(0))
            submittedNanos[index] = System.nanoTime()
            val call = HttpCall("/jobs", JSON_HEADERS, json.encodeToString(spec))
            SubmittedJob(spec, caller.make(call, CallKind.JOB, index, submittedNanos[index]))
        }
        return awaitEnds(submitted, submittedNanos)
    }

    private fun expectedRequestMillis() = options.requests * TimeUnit.SECONDS.toMillis(1) / options.ratePerSecond

    private fun awaitEnds(submitted: List<SubmittedJob>, submittedNanos: LongArray): List<SubmittedJob> {
        val jobs = submitted.toMutableList()
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.jobWaitMillis)
        while (jobs.any(::isOpen) && System.nanoTime() < deadlineNanos) {
            jobs.indices.filter { isOpen(jobs[it]) }.forEach { index ->
                val record = look(jobs[index].spec, index)
                val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - submittedNanos[index])
                val done = millis.takeIf { record?.state?.isFinal == true }
                if (record != null) jobs[index] = jobs[index].copy(record = record, doneMillis = done)
            }
            Thread.sleep(POLL_PAUSE_MILLIS)
        }
        return jobs
    }

    private fun isOpen(job: SubmittedJob) = job.submission.end == CallEnd.ANSWERED && job.record?.state?.isFinal != true

    private fun look(spec: JobSpec, first: Int): JobRecord? {
        val call = HttpCall("/jobs/${spec.pool}/${spec.id}", emptyList(), null)
        val reply = caller.make(call, CallKind.IDEMPOTENT, first, System.nanoTime()).history.last()
        return (reply as? Reply.Ran)?.let { json.decodeFromString<JobRecord>(it.body) }
    }

    private companion object {
        val JSON_HEADERS = listOf(HttpHeader("Content-Type", "application/json"))
    }
}

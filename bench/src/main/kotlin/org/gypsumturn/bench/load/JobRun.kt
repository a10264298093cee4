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

private const val POLL_PAUSE_MILLIS = 250L

/** Submits [jobs] evenly over the run, and watches them from then on until all have ended or the time is up. */
internal class JobRun(private val options: LoadOptions, private val caller: Caller, private val jobs: List<JobSpec>) {
    private val json = Json { ignoreUnknownKeys = true }
    private val submitted = mutableListOf<SubmittedJob>()
    private val submittedNanos = LongArray(jobs.size)
    private val startNanos = System.nanoTime()
    private val spanNanos = TimeUnit.MILLISECONDS.toNanos(minOf(options.durationMillis, requestMillis()))

    fun run(): List<SubmittedJob> {
        var deadlineNanos = Long.MAX_VALUE
        while (submitted.size < jobs.size || (submitted.any(::isOpen) && System.nanoTime() < deadlineNanos)) {
            submitDue()
            if (submitted.size == jobs.size && deadlineNanos == Long.MAX_VALUE) {
                deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.jobWaitMillis)
            }
            lookAtOpen()
            Thread.sleep(POLL_PAUSE_MILLIS)
        }
        return submitted
    }

    private fun requestMillis() = options.requests * TimeUnit.SECONDS.toMillis(1) / options.ratePerSecond

    private fun submitDue() {
        while (submitted.size < jobs.size) {
            val index = submitted.size
            if (startNanos + spanNanos * index / jobs.size > System.nanoTime()) return
            submittedNanos[index] = System.nanoTime()
            val call = HttpCall("/jobs", JSON_HEADERS, json.encodeToString(jobs[index]))
            submitted += SubmittedJob(jobs[index], caller.make(call, CallKind.JOB, index, submittedNanos[index]))
        }
    }

    private fun lookAtOpen() {
        submitted.indices.filter { isOpen(submitted[it]) }.forEach { index ->
            val record = look(submitted[index].spec, index) ?: return@forEach
            val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - submittedNanos[index])
            submitted[index] =
                submitted[index].copy(record = record, doneMillis = millis.takeIf { record.state.isFinal })
        }
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

// Submits jobs and polls the record of each accepted one until it has ended.

package org.gypsumturn.bench.load

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.isFinal
import java.util.concurrent.TimeUnit

/**
 * A job and the outcome of its submission. [record] is its record at the last poll. [doneMillis] is the time from
 * submission to the poll that found it ended, null if none did.
 */
public data class SubmittedJob(
    public val spec: JobSpec,
    public val submission: FinishedCall,
    public val record: JobRecord? = null,
    public val doneMillis: Long? = null,
)

private const val POLL_INTERVAL_MILLIS = 250L

/**
 * Submits [jobs] at even intervals while the requests are sent, and polls them until all accepted ones have ended or
 * the wait for jobs has elapsed.
 */
internal class JobRun(private val options: LoadOptions, private val caller: Caller, private val jobs: List<JobSpec>) {
    private val json = Json { ignoreUnknownKeys = true }
    private val submitted = mutableListOf<SubmittedJob>()
    private val submittedNanos = LongArray(jobs.size)
    private val startNanos = System.nanoTime()
    private val submitPeriodNanos = TimeUnit.MILLISECONDS.toNanos(minOf(options.durationMillis, requestPhaseMillis()))

    fun run(): List<SubmittedJob> {
        var deadlineNanos = Long.MAX_VALUE
        while (submitted.size < jobs.size || (submitted.any(::isOpen) && System.nanoTime() < deadlineNanos)) {
            submitDueJobs()
            if (submitted.size == jobs.size && deadlineNanos == Long.MAX_VALUE) {
                deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.jobWaitMillis)
            }
            pollOpenJobs()
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
        return submitted
    }

    private fun requestPhaseMillis() = options.requests * TimeUnit.SECONDS.toMillis(1) / options.ratePerSecond

    private fun submitDueJobs() {
        while (submitted.size < jobs.size) {
            val index = submitted.size
            if (startNanos + submitPeriodNanos * index / jobs.size > System.nanoTime()) return
            submittedNanos[index] = System.nanoTime()
            val call = HttpCall("/jobs", JSON_HEADERS, json.encodeToString(jobs[index]))
            submitted += SubmittedJob(jobs[index], caller.makeCall(call, CallKind.JOB, index, submittedNanos[index]))
        }
    }

    private fun pollOpenJobs() {
        submitted.indices.filter { isOpen(submitted[it]) }.forEach { index ->
            val record = fetchRecord(submitted[index].spec, index) ?: return@forEach
            val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - submittedNanos[index])
            submitted[index] =
                submitted[index].copy(record = record, doneMillis = millis.takeIf { record.state.isFinal })
        }
    }

    private fun isOpen(job: SubmittedJob) =
        job.submission.outcome == CallOutcome.ANSWERED && job.record?.state?.isFinal != true

    private fun fetchRecord(spec: JobSpec, firstEntry: Int): JobRecord? {
        val call = HttpCall("/jobs/${spec.pool}/${spec.id}", emptyList(), null)
        val reply = caller.makeCall(call, CallKind.IDEMPOTENT, firstEntry, System.nanoTime()).history.last()
        return (reply as? Reply.Ran)?.let { json.decodeFromString<JobRecord>(it.body) }
    }

    private companion object {
        val JSON_HEADERS = listOf(HttpHeader("Content-Type", "application/json"))
    }
}

// Checks the users' rule UNASKED on cancelled jobs: when starts of their tasks are ordered, and how long their tasks
// run on. Breaches by holders that are not in touch have names of their own, since the rule exempts these holders.

package org.gypsumturn.batch.check

import org.gypsumturn.batch.model.RunId
import org.gypsumturn.model.JobId

/** Watches the cancelled jobs and adds each breach to [breaches]. */
internal class CancellationMonitor(private val breaches: MutableList<String>) {
    private val acknowledgedMillis = LinkedHashMap<JobId, Long>()

    val cancelledJobs: Set<JobId> get() = acknowledgedMillis.keys

    fun onAcknowledged(nowMillis: Long, job: JobId) {
        acknowledgedMillis.putIfAbsent(job, nowMillis)
    }

    /** Judges that [holder] sends the order to start [run] at [nowMillis]. */
    fun onStartSent(nowMillis: Long, run: RunId, holder: ModelHolder) {
        val since = acknowledgedMillis[run.task.job]?.let { nowMillis - it } ?: return
        if (since <= CANCEL_MILLIS) return
        val rule = when {
            holder.wokeMillis?.let { nowMillis - it < CONTACT_MILLIS } == true -> AFTER_SUSPENSION
            !holder.isLeaseValid(nowMillis) -> AFTER_LAPSE
            holder.cut -> WITHOUT_STORE
            else -> UNASKED
        }
        breaches += "$rule: a start of ${run.task.name()} attempt ${run.attempt} is sent by holder ${holder.epoch} " +
            "$since ms after the cancellation was acknowledged, with rows known up to " +
            "${nowMillis - holder.feed.knownMillis} ms before"
    }

    /**
     * How a run of a cancelled job goes on for too long at [nowMillis], if one does. Nothing has disturbed since
     * [calmSinceMillis].
     */
    fun runsOnBreach(nowMillis: Long, calmSinceMillis: Long, runs: List<ModelRun>): String? = runs.firstOrNull { run ->
        val acknowledged = acknowledgedMillis[run.id.task.job] ?: return@firstOrNull false
        val dueMillis =
            maxOf(acknowledged + CANCEL_MILLIS, calmSinceMillis + CANCEL_MILLIS, run.startedMillis + CONTACT_MILLIS)
        nowMillis > dueMillis + STOP_MILLIS
    }?.let { "$RUNS_ON: ${it.id.task.name()} attempt ${it.id.attempt} runs on" }

    fun describe(nowMillis: Long, to: StringBuilder) {
        acknowledgedMillis.forEach { (job, at) ->
            to.append(job.value.last()).append(minOf(nowMillis - at, CANCEL_MILLIS + 1))
        }
    }

    companion object {
        /** A start that a holder in touch sends too late after a cancellation was acknowledged. */
        const val UNASKED = "UNASKED"

        /** Such a start of a holder whose lease has lapsed, that has no path to the store, or that was suspended. */
        const val AFTER_LAPSE = "UNASKED AFTER LAPSE"
        const val WITHOUT_STORE = "UNASKED WITHOUT STORE"
        const val AFTER_SUSPENSION = "UNASKED AFTER SUSPENSION"

        /** A run of a cancelled job that is not stopped in time. */
        const val RUNS_ON = "UNASKED RUNS ON"

        /** Time after its acknowledgement from which on a cancellation must be obeyed. */
        const val CANCEL_MILLIS = 3_000L

        /** Time without faults after which a machine is in touch. */
        const val CONTACT_MILLIS = 3_000L

        /** Time that the stop of a run may take. */
        const val STOP_MILLIS = 900L
    }
}

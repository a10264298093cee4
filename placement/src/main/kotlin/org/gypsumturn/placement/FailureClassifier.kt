// Distinguishes jobs that can never run from workers on which every job fails. The less often a job class fails on
// other workers, the more a failure counts as evidence against the worker. Following A. Wald, "Sequential Tests of
// Statistical Hypotheses" (1945), a worker is quarantined once its consecutive failures would be very unlikely on a
// healthy worker.

package org.gypsumturn.placement

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import kotlin.math.ln

/** How far a worker is trusted with new jobs. */
public enum class WorkerTrust {
    /** Gets jobs as far as it has room. */
    TRUSTED,

    /** Gets one new job at a time as a trial, until one of them succeeds. */
    ON_TRIAL,

    /** Gets no jobs until the quarantine time is over; after that it is on trial. */
    QUARANTINED,
}

/** Classifies the failures in one pool. */
public class FailureClassifier {
    private val workers = HashMap<InstanceId, WorkerHistory>()
    private val classes = HashMap<JobClassId, ClassHistory>()

    /** Records that an attempt of [job] starts on [worker]. */
    public fun recordStart(job: JobId, worker: InstanceId, nowMillis: Long) {
        if (trustOf(worker, nowMillis) == WorkerTrust.ON_TRIAL) workers.getValue(worker).trialJob = job
    }

    /** Records that the attempt of [job] on [worker] ended without success or failure. */
    public fun recordAbandoned(job: JobId, worker: InstanceId) {
        val history = workers[worker] ?: return
        if (history.trialJob == job) history.trialJob = null
    }

    /** Records the success of an attempt that started at [startMillis]. */
    public fun recordSuccess(spec: JobSpec, worker: InstanceId, startMillis: Long) {
        classes.getOrPut(spec.jobClass) { ClassHistory() }.recordSuccess(worker)
        workers.getOrPut(worker) { WorkerHistory() }.recordSuccess(spec.id, startMillis)
    }

    /** Records the failure of an attempt that started at [startMillis]. Returns whether this quarantines the worker. */
    public fun recordFailure(spec: JobSpec, worker: InstanceId, startMillis: Long, nowMillis: Long): Boolean {
        val history = workers.getOrPut(worker) { WorkerHistory() }
        val jobClass = classes.getOrPut(spec.jobClass) { ClassHistory() }
        val evidence = ln(1 / jobClass.failureShareElsewhere(worker))
        jobClass.recordFailure(worker)
        val shouldQuarantine = history.recordFailure(spec, startMillis, evidence)
        if (!shouldQuarantine) return false
        history.quarantine(nowMillis)
        classes.values.forEach { it.forgetFailuresOn(worker) }
        return true
    }

    /** Trust in [worker] at [nowMillis]. */
    public fun trustOf(worker: InstanceId, nowMillis: Long): WorkerTrust = when {
        (workers[worker]?.quarantinedUntilMillis ?: Long.MIN_VALUE) > nowMillis -> WorkerTrust.QUARANTINED
        workers[worker]?.isOnTrial == true -> WorkerTrust.ON_TRIAL
        else -> WorkerTrust.TRUSTED
    }

    /** Whether a trial job is running on [worker]. */
    public fun isTrialRunning(worker: InstanceId): Boolean = workers[worker]?.trialJob != null

    /**
     * Workers that were quarantined and on which no attempt has succeeded since. They count as lost, also while they
     * are on trial again.
     */
    public fun quarantinedWorkers(): Set<InstanceId> = workers.filterValues { it.quarantinedUntilMillis != null }.keys

    /** When the quarantine of [worker] ends or ended, or null if it was not quarantined since its last success. */
    public fun quarantinedUntilMillis(worker: InstanceId): Long? = workers[worker]?.quarantinedUntilMillis

    /**
     * Why the job of [record] can never run, or null if its failures do not show that. Failures on a worker that is
     * itself suspected do not count as evidence against the job.
     */
    public fun unrunnableReason(record: JobRecord, detail: String): String? {
        val jobClass = record.spec.jobClass
        val trusted = record.failedOn.distinct().filter { workers[it]?.isOnTrial != true }
        val needed = if ((classes[jobClass]?.successShare ?: 0.0) > 0.5) MIN_WORKERS_IN_GOOD_CLASS else MIN_WORKERS
        if (trusted.size < needed && record.failures < MAX_FAILURES) return null
        val named = record.failedOn.take(MAX_NAMED).joinToString()
        val where =
            if (trusted.size < needed) "on $named" else "on ${trusted.size} workers that run other jobs ($named)"
        return "failed ${record.failures} times $where; last error: ${detail.take(MAX_DETAIL_CHARS)}"
    }

    private companion object {
        /** Number of trusted workers on which a job has to fail before it counts as unrunnable. */
        const val MIN_WORKERS = 3

        /** The same for a job of a class in which most attempts succeed. */
        const val MIN_WORKERS_IN_GOOD_CLASS = 5

        /** Number of failures after which a job counts as unrunnable, on whichever workers it failed. */
        const val MAX_FAILURES = 12
        const val MAX_NAMED = 5
        const val MAX_DETAIL_CHARS = 200
    }
}

/** Failures of one worker since the start of its latest successful attempt. */
private class WorkerHistory {
    var quarantinedUntilMillis: Long? = null
    var trialJob: JobId? = null
    private var latestSuccessStartMillis = Long.MIN_VALUE
    private var evidence = 0.0
    private var trialEvidence = 0.0
    private var quarantines = 0

    /** Whether the failures make the worker suspect. */
    val isOnTrial: Boolean get() = quarantinedUntilMillis != null || evidence >= DOUBT_EVIDENCE

    /**
     * A worker that has become faulty can still finish attempts that it started earlier, so only attempts that started
     * later clear it.
     */
    fun recordSuccess(job: JobId, startMillis: Long) {
        val wasTrial = trialJob == job
        if (wasTrial) trialJob = null
        latestSuccessStartMillis = maxOf(latestSuccessStartMillis, startMillis)
        if (isOnTrial && !wasTrial) return
        evidence = 0.0
        trialEvidence = 0.0
        quarantinedUntilMillis = null
        quarantines = 0
    }

    /** Returns whether the worker has to be quarantined. */
    fun recordFailure(spec: JobSpec, startMillis: Long, weight: Double): Boolean {
        val wasTrial = trialJob == spec.id
        if (wasTrial) trialJob = null
        if (startMillis < latestSuccessStartMillis) return false
        evidence += weight
        if (!wasTrial) return false
        trialEvidence += weight
        return trialEvidence >= if (quarantinedUntilMillis == null) CERTAINTY_EVIDENCE else DOUBT_EVIDENCE
    }

    fun quarantine(nowMillis: Long) {
        quarantinedUntilMillis = nowMillis + (FIRST_QUARANTINE_MILLIS shl quarantines.coerceAtMost(MAX_DOUBLINGS))
        quarantines++
        trialEvidence = 0.0
    }

    private companion object {
        /**
         * Evidence from which a worker is suspect: its consecutive failures have a probability of one in 400 on a
         * healthy worker.
         */
        val DOUBT_EVIDENCE = ln(400.0)

        /**
         * Evidence from which a worker is quarantined: the failures of its trials alone have a probability of one in a
         * million on a healthy worker.
         */
        val CERTAINTY_EVIDENCE = ln(1e6)
        const val FIRST_QUARANTINE_MILLIS = 300_000L
        const val MAX_DOUBLINGS = 6
    }
}

/** Recent results of one job class by worker. Older results lose weight. */
private class ClassHistory {
    private val successesByWorker = HashMap<InstanceId, Double>()
    private val failuresByWorker = HashMap<InstanceId, Double>()
    private var successSum = 0.0
    private var failureSum = 0.0

    /** Share of attempts that succeeded. */
    val successShare: Double get() = successSum / (successSum + failureSum + 1)

    fun recordSuccess(worker: InstanceId) {
        successesByWorker.merge(worker, 1.0, Double::plus)
        successSum++
        decay()
    }

    fun recordFailure(worker: InstanceId) {
        failuresByWorker.merge(worker, 1.0, Double::plus)
        failureSum++
        decay()
    }

    /** Removes the failures on [worker], because the worker caused them. */
    fun forgetFailuresOn(worker: InstanceId) {
        failureSum -= failuresByWorker.remove(worker) ?: 0.0
    }

    /** Share of attempts that failed on workers other than [worker]; one half if there are no results. */
    fun failureShareElsewhere(worker: InstanceId): Double {
        val successesElsewhere = successSum - (successesByWorker[worker] ?: 0.0)
        val failuresElsewhere = failureSum - (failuresByWorker[worker] ?: 0.0)
        return ((failuresElsewhere + 1) / (successesElsewhere + failuresElsewhere + 2)).coerceAtLeast(MIN_FAILURE_SHARE)
    }

    private fun decay() {
        if (successSum + failureSum < MAX_RESULTS) return
        successesByWorker.replaceAll { _, value -> value / 2 }
        failuresByWorker.replaceAll { _, value -> value / 2 }
        successesByWorker.values.removeIf { it < MIN_WEIGHT }
        failuresByWorker.values.removeIf { it < MIN_WEIGHT }
        successSum = successesByWorker.values.sum()
        failureSum = failuresByWorker.values.sum()
    }

    private companion object {
        /** Total weight of the results at which all weights are halved. */
        const val MAX_RESULTS = 400.0

        /** Results below this weight are removed. */
        const val MIN_WEIGHT = 0.2

        /** Lower bound of the failure share, which limits the evidence of a single failure. */
        const val MIN_FAILURE_SHARE = 0.03
    }
}

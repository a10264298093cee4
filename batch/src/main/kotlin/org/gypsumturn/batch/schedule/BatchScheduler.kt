// Scheduler of the holder of the control lease: learns of jobs, executors and reports, and decides what runs where. It
// does no I/O. Orders gather until they are taken; their answers come back as events.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.port.Advice
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.Occurrence
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.batch.state.applyProgress
import org.gypsumturn.batch.state.progressOf
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** A change of a job's progress that is to be stored under [serial]. */
public class ProgressChange(
    public val job: JobState,
    public val serial: Long,
    public val revision: Revision,
    public val record: ProgressRecord,
)

/** The scheduler of one holder, from its takeover on. */
public class BatchScheduler(
    private val settings: SchedulerSettings,
    private val epoch: Epoch,
    private val log: DecisionLog,
    order: StepOrder = orderByPlan,
) {
    private val jobsById = HashMap<JobId, JobState>()
    private val changed = LinkedHashSet<JobState>()
    private val book = ExecutorBook(settings, epoch, log)
    private val recovery = Recovery()
    private val judge = ExecutorJudge(book, log)
    private val ends = RunEnds(this, book, judge, log)
    private val advice = AdviceKeeper(log)
    private val starter = TaskStarter(epoch, advice, book, log, order)
    private var configuration: FleetConfiguration? = null

    /** Queues by id, as last configured: jobs of one that was removed are still done. */
    private val queues = HashMap<QueueId, Queue>()
    private var serial = 0L
    private var placedMillis = 0L
    private var judgedMillis = 0L
    private var needsPlacement = true

    init {
        ends.maxFailures = { job -> queues[job.job.queue]?.maxAttempts ?: Int.MAX_VALUE }
    }

    /** Jobs that have not ended. */
    public val active: MutableSet<JobState> = LinkedHashSet()

    /** Executors by id. */
    public val executors: Map<InstanceId, ExecutorState> get() = book.executors

    /** Whether an executor refused an order because another holder has a higher epoch. */
    public val fencedOff: Boolean get() = book.fencedOff

    /** The job [id], or null where it is not known. */
    public fun job(id: JobId): JobState? = jobsById[id]

    /** All jobs that are kept, ended ones included. */
    public val jobs: Collection<JobState> get() = jobsById.values

    /** Jobs of [queue] without a timetable of which no task has been started. */
    public fun pending(queue: QueueId): Int = active.count { it.job.queue == queue && it.phase == JobPhase.QUEUED }

    /** Puts [configuration] in force. */
    public fun configure(configuration: FleetConfiguration) {
        this.configuration = configuration
        configuration.queues.forEach { queues[it.id] = it }
        needsPlacement = true
    }

    /** An executor's entry as it stands in the store. */
    public fun listed(nowMillis: Long, record: ExecutorRecord) {
        book.listed(nowMillis, record)?.let { bornAnew(nowMillis, it) }
        needsPlacement = true
    }

    /** An executor's entry is gone from the store. */
    public fun unlisted(nowMillis: Long, id: InstanceId) {
        book.unlisted(nowMillis, id)
    }

    /** The platform knows that [id] does not run any more. */
    public fun gone(nowMillis: Long, id: InstanceId) {
        recovery.seen(id)
        val executor = book.executors[id] ?: return
        log("executor gone", arrayOf("executor" to id, "runs" to executor.runs.size))
        ends.lifetimeEnded(nowMillis, executor)
        judge.forget(executor)
        book.drop(executor)
        needsPlacement = true
    }

    /**
     * Earlier holders may have given orders to the present executors; until each of a pool was seen, or [untilMillis],
     * the pool's tasks stay where they are.
     */
    public fun recover(untilMillis: Long) {
        recovery.begin(book.executors.mapValues { it.value.record.pool }, untilMillis)
    }

    /** A job was accepted; [fresh] tells that no earlier holder can have started any of it. */
    public fun accept(nowMillis: Long, job: BatchJob, progress: ProgressRecord?, revision: Revision, fresh: Boolean) {
        if (job.id in jobsById) return
        val first = if (fresh) 1L else epoch.value * SchedulerSettings.ATTEMPTS_PER_EPOCH + 1
        val state = JobState(job, nowMillis, first)
        state.revision = revision
        jobsById[job.id] = state
        progress?.let { applyProgress(state, it, nowMillis) }
        if (state.phase.ended) {
            state.endedMillis = nowMillis
            return
        }
        if (job.repeats == 0 && 0 !in state.occurrences) state.begin(0, nowMillis)
        active += state
        needsPlacement = true
        if (fresh) {
            log(
                "job queued",
                arrayOf(
                    "job" to job.id,
                    "queue" to job.queue,
                    "steps" to job.steps.map { it.describe() },
                ),
            )
        }
    }

    /** A job's cancellation was stored. */
    public fun cancel(nowMillis: Long, id: JobId) {
        val job = jobsById[id] ?: return
        if (job.phase.ended) return
        end(nowMillis, job, JobPhase.CANCELLED)
    }

    /** Marks the progress of [job] as changed; the serial under which it will be stored. */
    internal fun changed(job: JobState): Long {
        job.changeSerial = ++serial
        changed += job
        return job.changeSerial
    }

    /** Ends [job] and stops what runs of it. */
    internal fun end(nowMillis: Long, job: JobState, phase: JobPhase) {
        log("job ended", arrayOf("job" to job.job.id, "phase" to phase))
        job.phase = phase
        job.endedMillis = nowMillis
        active -= job
        changed(job)
        job.runs().forEach { stop(it, "job ended") }
        needsPlacement = true
    }

    /** Stops [run]; its room is free once the executor lists its end. */
    public fun stop(run: Run, reason: String) {
        if (run.phase == RunPhase.STOPPING) return
        log("task stopped", arrayOf("task" to run.id.task, "executor" to run.executor.record.id, "reason" to reason))
        run.phase = RunPhase.STOPPING
        run.retryMillis = null
        book.order(Order.Stop(run.executor.target, run.id))
    }

    /** An executor answered a look, or did not. */
    public fun looked(nowMillis: Long, id: InstanceId, verdict: Verdict<PollAnswer>) {
        val executor = book.executors[id] ?: return
        when (val sight = book.looked(nowMillis, executor, verdict)) {
            is Sight.Report -> {
                if (sight.reborn) bornAnew(nowMillis, executor)
                recovery.seen(id)
                ends.handle(nowMillis, executor, sight.report)
                needsPlacement = true
            }

            Sight.Gone -> gone(nowMillis, id)

            Sight.Nothing -> Unit
        }
    }

    private fun bornAnew(nowMillis: Long, executor: ExecutorState) {
        ends.lifetimeEnded(nowMillis, executor)
        judge.forget(executor)
    }

    /** An executor answered a start, or did not. */
    public fun startAnswered(nowMillis: Long, run: Run, verdict: Verdict<OrderAnswer>) {
        if (run.executor.runs[run.id] !== run) return
        when (starter.answered(nowMillis, run, verdict)) {
            StartResult.STARTED -> started(run)
            StartResult.NOT_STARTED -> notStarted(nowMillis, run)
            StartResult.MAY_START_LATE -> stop(run, "an earlier start of it may be carried out late")
            StartResult.EXECUTOR_GONE -> gone(nowMillis, run.executor.record.id)
            StartResult.OPEN -> Unit
        }
    }

    /** Takes the questions to the advisor that have gathered. */
    public fun takeQuestions(): List<AdviceQuestion> = advice.takeQuestions()

    /** The advisor answered [question], or did not. */
    public fun advised(nowMillis: Long, question: AdviceQuestion, verdict: Verdict<Advice>) {
        advice.answered(nowMillis, question, verdict)
        needsPlacement = true
    }

    /** An executor answered a stop, or did not. */
    public fun stopAnswered(nowMillis: Long, id: InstanceId, run: RunId, verdict: Verdict<OrderAnswer>) {
        val executor = book.executors[id] ?: return
        val known = executor.runs[run]
        if (verdict !is Verdict.Ran) {
            book.failed(nowMillis, executor, "stop")
            known?.let { book.retryAt(it, nowMillis + SchedulerSettings.RETRY_MILLIS) }
            return
        }
        val answer = verdict.value
        if (answer is OrderAnswer.Done) {
            known?.stopConfirmedClockMillis = answer.clockMillis
        } else if (known != null && answer is OrderAnswer.Refused) {
            log("stop refused", arrayOf("task" to run.task, "executor" to id, "reason" to answer.reason))
            book.refused(nowMillis, executor, answer.reason)
            book.retryAt(known, nowMillis + SchedulerSettings.RETRY_MILLIS)
        }
    }

    /** A job's progress was stored. */
    public fun stored(change: ProgressChange, revision: Revision) {
        change.job.revision = revision
        change.job.storedSerial = maxOf(change.job.storedSerial, change.serial)
        if (change.record.phase.ended) change.job.shownPhase = change.record.phase
    }

    /** Takes at most [limit] changes that are to be stored. */
    public fun takeChanges(limit: Int): List<ProgressChange> {
        val taken = changed.take(limit)
        changed -= taken.toSet()
        return taken.map { ProgressChange(it, it.changeSerial, it.revision, progressOf(it)) }
    }

    /** Puts changes back whose storing failed; [revisionOf] corrects what is stored of a job. */
    public fun giveBack(changes: List<ProgressChange>, revisionOf: (JobId) -> Revision?) {
        changes.forEach { change ->
            revisionOf(change.job.job.id)?.let { change.job.revision = it }
            if (change.job.storedSerial < change.job.changeSerial) changed += change.job
        }
    }

    /** Whether there are changes to store. */
    public val hasChanges: Boolean get() = changed.isNotEmpty()

    /** Drops ended jobs whose state needs not be kept any more, at most [limit] of them. */
    public fun takeExpired(nowMillis: Long, limit: Int): List<JobState> {
        val keptMillis = settings.statusSeconds * MILLIS_PER_SECOND + EXPIRY_SLACK_MILLIS
        val expired = jobsById.values.asSequence()
            .filter { it.phase.ended && it.storedSerial >= it.changeSerial && nowMillis - it.endedMillis > keptMillis }
            .take(limit)
            .toList()
        expired.forEach { jobsById.remove(it.job.id) }
        return expired
    }

    /** The store answers again after an outage; entries that lapsed meanwhile may come back for a while. */
    public fun storeRegained(nowMillis: Long) {
        book.storeRegained(nowMillis)
    }

    /**
     * Does what is due, and returns the orders that have gathered. [wallMillis] is the time of day; [overdueMillis] is
     * how long the holder's lease has lapsed, negative while it is valid.
     *
     * For some time after its lease has lapsed a holder goes on with what it knew before, since the store may be away
     * for all: a later holder starts nothing of it elsewhere before it has fenced every executor, or all leases that
     * were given in time have lapsed. No lease is given beyond that time. After it, executors are only looked at.
     */
    public fun work(nowMillis: Long, wallMillis: Long, overdueMillis: Long): List<Order> {
        recovery.ended(nowMillis).forEach { pool ->
            log("recovery over", arrayOf("epoch" to epoch, "pool" to pool, "active" to active.size))
            needsPlacement = true
        }
        beginDue(nowMillis, wallMillis)
        book.lapsed(nowMillis).forEach { executor ->
            recovery.seen(executor.record.id)
            ends.lapsed(nowMillis, executor)
            needsPlacement = true
        }
        val valid = overdueMillis < 0
        val leaseMillis = settings.leaseMillis - maxOf(0, overdueMillis)
        val mayStart = leaseMillis >= SchedulerSettings.LEAST_LEASE_MILLIS
        starter.leaseMillis = leaseMillis
        if (valid) {
            book.takeRetries(nowMillis).forEach { retry(nowMillis, it) }
            if (nowMillis - judgedMillis >= JUDGE_INTERVAL_MILLIS) judgeRuns(nowMillis)
        }
        if (mayStart && (needsPlacement || nowMillis - placedMillis > PLACEMENT_INTERVAL_MILLIS)) {
            place(nowMillis, if (valid) nowMillis else nowMillis - overdueMillis)
        }
        book.look(nowMillis, leaseMillis.takeIf { mayStart })
        return book.takeOrders(mayStart)
    }

    /** Gives room to what was known at [knownMillis]. */
    private fun place(nowMillis: Long, knownMillis: Long) {
        needsPlacement = false
        placedMillis = nowMillis
        if (configuration == null) return
        val waiting = HashMap<PoolId, MutableList<OpenStep>>()
        active.forEach { job ->
            val queue = queues[job.job.queue] ?: return@forEach
            if (job.firstAttempt > 1 && !recovery.overFor(queue.pool)) return@forEach
            if (job.acceptedMillis > knownMillis) return@forEach
            val steps = job.occurrences.values.flatMap { waitingSteps(nowMillis, queue, it) }
            if (steps.isNotEmpty()) waiting.getOrPut(queue.pool) { ArrayList() } += steps
        }
        waiting.forEach { (pool, steps) -> starter.placePool(nowMillis, knownMillis, pool, steps) }
    }

    private fun waitingSteps(nowMillis: Long, queue: Queue, occurrence: Occurrence): List<OpenStep> =
        occurrence.openSteps()
            .filter { step -> step.tasks.any { it.waits(nowMillis) } }
            .map { OpenStep(queue, occurrence, it) }

    private fun started(run: Run) {
        val job = run.task.step.job
        if (job.phase == JobPhase.QUEUED) job.phase = JobPhase.RUNNING
        if (job.shownPhase == JobPhase.QUEUED) job.shownPhase = JobPhase.RUNNING
        if (job.phase.ended) stop(run, "job ended")
    }

    private fun notStarted(nowMillis: Long, run: Run) {
        ends.remove(nowMillis, run)
        needsPlacement = true
    }

    private fun beginDue(nowMillis: Long, wallMillis: Long) {
        for (job in active) {
            if (job.job.repeats == 0) continue
            val next = maxOf(
                job.occurrences.keys.maxOrNull() ?: -1,
                job.completedOccurrences.maxOrNull() ?: -1,
            ) + 1
            if (next >= job.job.occurrences) continue
            val dueWall = job.job.startAtMillis + next * job.job.intervalMillis
            if (dueWall <= wallMillis) {
                job.begin(next, nowMillis + dueWall - wallMillis)
                needsPlacement = true
            }
        }
    }

    /** Moves runs that lag: a copy is started where the step allows copies, otherwise the run is stopped first. */
    private fun judgeRuns(nowMillis: Long) {
        judgedMillis = nowMillis
        leaveDraining()
        judge.laggards(nowMillis).filter { !it.lagging }.forEach { run ->
            val task = run.task
            log(
                "run lags",
                arrayOf(
                    "task" to run.id.task,
                    "executor" to run.executor.record.id,
                    "percent" to run.percent,
                    "elapsed_ms" to nowMillis - run.startedMillis,
                ),
            )
            run.lagging = true
            needsPlacement = true
            if (!task.step.step.speculative && !task.step.step.gang && run.id.attempt - task.firstAttempt < MAX_MOVES) {
                stop(run, "lags")
            }
        }
    }

    /** Long-running tasks would end with their executor; they go on elsewhere before. */
    private fun leaveDraining() {
        book.executors.values.filter { it.record.draining && it.unreachableSinceMillis == null }.forEach { executor ->
            executor.runs.values.filter { it.task.step.step.longRunning && it.phase == RunPhase.RUNNING }
                .forEach { stop(it, "executor draining") }
        }
    }

    private fun retry(nowMillis: Long, run: Run) {
        if (run.phase == RunPhase.STOPPING) {
            book.order(Order.Stop(run.executor.target, run.id))
        } else if (starter.askAgain(nowMillis, run)) {
            stop(run, "its start is not answered")
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** Time beyond the promised one for which an ended job is kept. */
        const val EXPIRY_SLACK_MILLIS = 30_000L

        /** Time between two looks for runs that lag. */
        const val JUDGE_INTERVAL_MILLIS = 200L

        /** Starts of a task after which it is left where it is, however slow. */
        const val MAX_MOVES = 3L

        /** Longest time between two placements: executors become usable again by time alone. */
        const val PLACEMENT_INTERVAL_MILLIS = 100L
    }
}

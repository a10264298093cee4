// The scheduler that runs on the holder of the control lease. It is told of jobs, executors and reports, and decides
// which task runs on which executor. It does no I/O: it queues orders that the caller takes and sends, and the caller
// passes the answers back.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.model.Workspace
import org.gypsumturn.batch.port.Advice
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.IncarnationEndSource
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunEndEvidence
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.batch.workspace.WorkspaceStatus
import org.gypsumturn.batch.workspace.WorkspaceUse
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.WorkspaceId

/**
 * Schedules jobs during one term of the control lease, which [epoch] numbers. All calls must come from one thread.
 * Parameters named `nowMillis` are times on the steady clock of this process. With [stepOrder], waiting steps are
 * sorted by it in place of the order that [settings] name.
 */
public class BatchScheduler(
    private val settings: SchedulerSettings,
    private val epoch: Epoch,
    private val log: DecisionLog,
    stepOrder: StepOrder? = null,
) {
    private val usage = WorkspaceUsage()
    private val jobRegistry = JobRegistry(epoch, usage, settings.maxProgressBytes, ::markPoolStale)
    private val registry = ExecutorRegistry(settings, epoch, log)
    private val controlLease = ControlLeaseView(epoch, log)
    private val startHold =
        StartHold(epoch, settings.maxJobsAgeMillis, SchedulerSettings.MAX_EXECUTORS_AGE_MILLIS, log)
    private val recovery = TakeoverRecovery()
    private val queues = KnownQueues()
    private val rosters = PoolRosters(registry, queues) { jobRegistry.activeIn(it).isNotEmpty() }
    private val faultDetector = FaultyExecutorDetector(registry, log)
    private val crashAttribution = CrashAttribution(this, log)
    private val absences = TaskAbsences(registry, queues, rosters, recovery, log)
    private val unreportedEnds = UnreportedRunEnds(this, controlLease, crashAttribution, absences, log)
    private val reportHandler =
        ExecutorReportHandler(this, registry, faultDetector, crashAttribution, unreportedEnds, absences, log)
    private val adviceCache = PlacementAdviceCache(log)
    private val ledger = WorkspaceLedger(usage, jobRegistry, registry, queues, recovery, log)
    private val order: StepOrder = stepOrder ?: when (settings.overloadOrder) {
        OverloadOrder.PLAN -> orderByPlan
        OverloadOrder.COST -> orderByCost { id -> ledger[id]?.weight }
    }
    private val starter =
        TaskStarter(
            epoch,
            adviceCache,
            registry,
            crashAttribution,
            ::markChanged,
            log,
            order,
            ledger,
            settings.maxProgressBytes,
        )
    private val placer = WaitingTaskPlacer(jobRegistry, queues, rosters, recovery, starter)
    private val runMover = RunMover(this, registry, faultDetector, log)

    init {
        registry.onMembersChanged = rosters::markChanged
        reportHandler.maxFailures = { job -> queues[job.job.queue]?.maxAttempts ?: Int.MAX_VALUE }
    }

    /** Jobs that have not ended. */
    public val activeJobs: Set<JobState> get() = jobRegistry.active

    /** Known executors by id. */
    public val executors: Map<InstanceId, ExecutorState> get() = registry.executors

    /** Whether an executor refused a call because it has accepted a higher epoch from another holder. */
    public val fencedOff: Boolean get() = registry.fencedOff

    /** What was known of the stored jobs in the last scheduling pass; null before the first. */
    public var jobKnowledge: JobKnowledge? = null
        private set

    /** Whether no task may be started as of the last scheduling pass, since the knowledge was too old. */
    internal val areStartsHeld: Boolean get() = startHold.isActive

    /** Returns the job with [id], or null if it is not known. */
    public fun job(id: JobId): JobState? = jobRegistry[id]

    /** All jobs in memory, including ended ones whose state is still kept. */
    public val jobs: Collection<JobState> get() = jobRegistry.all

    /** Number of jobs of [queue] of which no task has been started. */
    public fun pendingJobCount(queue: QueueId): Int = jobRegistry.activeIn(queue).count { it.phase == JobPhase.QUEUED }

    /** The workspace [id] as the newest configuration that had it; null if none had. */
    public fun workspace(id: WorkspaceId): Workspace? = ledger[id]

    /** The capacity that workspace [id] uses on all executors. */
    public fun workspaceUse(id: WorkspaceId): WorkspaceUse = ledger.useOf(id)

    /** The state of all workspaces, for the operator. */
    public fun workspaceStatus(): List<WorkspaceStatus> = ledger.status()

    /** Applies [configuration]. */
    public fun configure(configuration: FleetConfiguration) {
        queues.applyConfiguration(configuration)
        ledger.configure(configuration.workspaces)
        placer.configure(configuration)
    }

    /** Handles a new or changed entry of an executor in the store. */
    public fun onExecutorListed(nowMillis: Long, record: ExecutorRecord) {
        registry.onListed(nowMillis, record)?.let {
            handleRestart(nowMillis, it, IncarnationEndSource.NEWER_ENTRY, emptySet())
        }
        placer.markPoolStale(record.pool)
    }

    /** Records that everything that was stored of the executors' entries until [asOfMillis] is known. */
    public fun onExecutorsRead(asOfMillis: Long) {
        placer.onExecutorsRead(asOfMillis)
    }

    /** Handles the removal of the entry of executor [id] from the store. Its runs are kept, as it may still be up. */
    public fun onExecutorUnlisted(nowMillis: Long, id: InstanceId) {
        registry.onUnlisted(nowMillis, id)
    }

    /**
     * Handles that executor [id] no longer runs, as [evidence] shows: its runs have ended, and their tasks may be
     * started elsewhere. [planned] tells that its machine was moved or taken down on purpose; otherwise it has crashed,
     * unless it was draining.
     */
    public fun onExecutorGone(
        nowMillis: Long,
        id: InstanceId,
        planned: Boolean,
        evidence: RunEndEvidence.IncarnationEnded,
    ) {
        recovery.markSeen(id)
        val executor = registry.executors[id] ?: return
        log(
            "executor gone",
            arrayOf("executor" to id, "runs" to executor.runs.size, "evidence" to evidence.label),
        )
        unreportedEnds.onIncarnationEnded(nowMillis, executor, planned || hasPlannedEnd(executor), evidence)
        faultDetector.forget(executor)
        registry.removeExecutor(executor)
    }

    /**
     * Holds back tasks of jobs from before the takeover, which an earlier holder may have started on an executor of the
     * stored [rosters]. Tasks are released once each of the executors of their pools has reported its runs, or at
     * [untilMillis]. Must be called once, after the entries of the executors have been read.
     */
    public fun startRecovery(nowMillis: Long, rosters: Map<PoolId, StoredRoster>, untilMillis: Long) {
        rosters.forEach { (pool, stored) ->
            stored.roster.addresses.filterKeys { InstanceId(it) !in registry.executors }
                .forEach { (id, address) -> registry.addUnlisted(nowMillis, InstanceId(id), pool, address) }
        }
        this.rosters.applyStored(rosters)
        queues.applyStored(rosters.values.map { it.roster })
        // Runs of jobs that have ended count against the cap of their workspace until they are known to have stopped.
        val hasUnknownRuns = activeJobs.isNotEmpty() || jobs.any { it.job.workspace != null }
        if (!hasUnknownRuns || epoch.value <= SchedulerSettings.FIRST_EPOCH) return
        recovery.awaitExecutors(rosters.mapValues { it.value.roster }, untilMillis)
        absences.onTakeover(nowMillis, activeJobs)
    }

    /** Returns the machines of executors that earlier holders have stored, and nothing after the first call. */
    internal fun takeEarlierMachines(): Map<InstanceId, MachineId> = rosters.takeEarlierMachines()

    /** Lets the machines on which executors were [shown] be stored, so that a later holder knows them. */
    internal fun recordMachines(shown: Map<InstanceId, MachineId>) = rosters.recordMachines(shown)

    /** Removes and returns at most [limit] rosters that are to be stored. */
    public fun takeRosterChanges(limit: Int): List<RosterChange> = rosters.takeChanges(limit)

    /** Records that [change] was stored under [revision]. */
    public fun onRosterStored(change: RosterChange, revision: Revision) {
        rosters.onStored(change, revision)
        placer.markPoolStale(change.pool)
    }

    /**
     * Queues [changes] again after storing them failed. [storedRevisionOf] returns the revision of the stored roster of
     * a pool, or null if that is not known better than before.
     */
    public fun returnRosterChanges(changes: List<RosterChange>, storedRevisionOf: (PoolId) -> Revision?) {
        rosters.returnChanges(changes, storedRevisionOf)
    }

    /**
     * Adds an accepted job. [progress] is what is stored of it under [revision], or null. [neverStarted] tells that no
     * earlier holder can have started any of its tasks.
     */
    public fun addJob(
        nowMillis: Long,
        job: BatchJob,
        progress: ProgressRecord?,
        revision: Revision,
        neverStarted: Boolean,
    ) {
        if (jobRegistry[job.id] != null) return
        val state = jobRegistry.add(nowMillis, job, revision, neverStarted)
        if (job.tasksPerOccurrence > SchedulerSettings.MAX_TASKS_IN_MEMORY && progress?.phase?.ended != true) {
            log("job too large", arrayOf("job" to job.id, "tasks" to job.tasksPerOccurrence))
            endJob(nowMillis, state, JobPhase.FAILED)
            return
        }
        jobRegistry.begin(nowMillis, state, progress)
        if (!state.phase.ended && neverStarted) {
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

    /** Lets the waiting tasks of the pool of [job] be placed in the next pass. */
    internal fun markPoolStale(job: JobState) {
        queues[job.job.queue]?.let { placer.markPoolStale(it.pool) }
    }

    /** Lets waiting tasks be placed on the executors of [pool] in the next pass. */
    internal fun markPoolStale(pool: PoolId) {
        placer.markPoolStale(pool)
    }

    /** Cancels job [id], whose cancellation has been stored. */
    public fun cancelJob(nowMillis: Long, id: JobId) {
        val job = jobRegistry[id] ?: return
        if (job.phase.ended) return
        endJob(nowMillis, job, JobPhase.CANCELLED)
    }

    /** Marks the progress of [job] as changed and returns the number of the change. */
    internal fun markChanged(job: JobState): Long = jobRegistry.markChanged(job)

    /**
     * Gives [job] up as failed. Without a valid control lease that waits until the lease is valid again, and none of
     * its tasks is started until then: a later holder may go on with the job by what it knows.
     */
    internal fun giveUpJob(nowMillis: Long, job: JobState) {
        job.isGivenUp = true
        if (controlLease.isValid) endJob(nowMillis, job, JobPhase.FAILED)
    }

    private fun endGivenUpJobs(nowMillis: Long) {
        activeJobs.filter { it.isGivenUp }.forEach { endJob(nowMillis, it, JobPhase.FAILED) }
    }

    /** Ends [job] in [phase] and stops its runs. */
    internal fun endJob(nowMillis: Long, job: JobState, phase: JobPhase) {
        log("job ended", arrayOf("job" to job.job.id, "phase" to phase))
        jobRegistry.end(nowMillis, job, phase)
        job.runs().forEach { stopRun(it, "job ended") }
        job.occurrences.keys.toList().forEach(job::removeOccurrence)
    }

    /**
     * Orders the executor to stop [run]. The reserved capacity stays taken until the executor reports the end of the
     * run.
     */
    public fun stopRun(run: Run, reason: String) {
        if (run.phase != RunPhase.STOPPING) repeatStop(run, reason)
    }

    /** Stops [run] so that its task is started elsewhere. [mayRepeatEvacuation] tells whether a stop is repeated. */
    internal fun evacuateRun(run: Run, reason: String) {
        run.isEvacuated = true
        stopRun(run, reason)
    }

    /** Tells whether the stop of an evacuated run may be repeated at the given time. */
    internal var mayRepeatEvacuation: (Long, Run) -> Boolean by registry::mayRepeatEvacuation

    /** Orders the executor to stop [run], also if it was told so before. */
    internal fun repeatStop(run: Run, reason: String) {
        log("task stopped", arrayOf("task" to run.id.task, "executor" to run.executor.record.id, "reason" to reason))
        run.phase = RunPhase.STOPPING
        run.retryAtMillis = null
        enqueueStop(run)
    }

    private fun enqueueStop(run: Run) {
        registry.enqueueOrder(ExecutorOrder.Stop(run.executor.target, run.id, run.executor.incarnation))
    }

    /** Handles the answer to [order], or its failure. */
    public fun onPollAnswered(nowMillis: Long, order: ExecutorOrder.Poll, verdict: Verdict<PollAnswer>) {
        val id = order.target.id
        val executor = registry.executors[id]?.takeIf { it.pollNumber == order.number } ?: return
        val wasUsable = executor.canTakeNewRuns(nowMillis)
        when (val result = registry.onPollAnswered(nowMillis, executor, order, verdict)) {
            is PollResult.Report -> {
                if (result.newIncarnation) {
                    val listed = result.report.running.map { it.run } + result.report.ended.map { it.run }
                    handleRestart(nowMillis, executor, IncarnationEndSource.NEWER_REPORT, listed.toSet())
                }
                if (result.report.endsComplete) recovery.markSeen(id)
                reportHandler.handleReport(nowMillis, executor, order.number, result.report)
                if (!wasUsable) placer.markPoolStale(executor.record.pool)
            }

            PollResult.AddressReused -> onAddressReused(nowMillis, id)

            PollResult.NoReport -> Unit
        }
    }

    private fun onAddressReused(nowMillis: Long, id: InstanceId) {
        val evidence = RunEndEvidence.IncarnationEnded(IncarnationEndSource.ADDRESS, nowMillis)
        onExecutorGone(nowMillis, id, planned = false, evidence)
    }

    private fun handleRestart(
        nowMillis: Long,
        executor: ExecutorState,
        source: IncarnationEndSource,
        listed: Set<RunId>,
    ) {
        val evidence = RunEndEvidence.IncarnationEnded(source, nowMillis)
        unreportedEnds.onRestarted(nowMillis, executor, hasPlannedEnd(executor), evidence, listed)
        faultDetector.forget(executor)
    }

    private fun hasPlannedEnd(executor: ExecutorState) = executor.terminating || executor.record.draining

    /** Handles the answer to [order], or its failure. */
    public fun onStartAnswered(nowMillis: Long, order: ExecutorOrder.Start, verdict: Verdict<OrderAnswer>) {
        val run = order.run
        run.startsInFlight--
        if (run.executor.runs[run.id] !== run) return
        when (starter.onStartAnswered(nowMillis, order, verdict)) {
            StartResult.STARTED -> onRunStarted(run)

            StartResult.NOT_STARTED -> onRunNotStarted(nowMillis, run)

            StartResult.MAY_START_LATE -> stopRun(run, "an earlier start order for it may still be carried out")

            StartResult.EXECUTOR_GONE -> {
                // The executor ended before this start, so the run can't be the cause.
                if (!run.mayStartLate) onRunNotStarted(nowMillis, run)
                onAddressReused(nowMillis, run.executor.record.id)
            }

            StartResult.OPEN -> Unit
        }
    }

    /** Removes and returns the queued questions to the placement advisor. */
    public fun takeQuestions(): List<AdviceQuestion> = adviceCache.takeQuestions()

    /** Handles the answer of the advisor to [question], or its failure. */
    public fun onAdviceAnswered(nowMillis: Long, question: AdviceQuestion, verdict: Verdict<Advice>) {
        adviceCache.onAnswer(nowMillis, question, verdict)
        markPoolStale(question.step.job)
    }

    /** Handles the answer to [order], or its failure. */
    public fun onStopAnswered(nowMillis: Long, order: ExecutorOrder.Stop, verdict: Verdict<OrderAnswer>) {
        val id = order.target.id
        val executor = registry.executors[id] ?: return
        val known = executor.runs[order.run]?.takeIf { executor.incarnation == order.incarnation }
        if (verdict !is Verdict.Ran) {
            registry.addFailure(nowMillis, executor, "stop")
            known?.let { registry.scheduleRetry(it, nowMillis + SchedulerSettings.RETRY_MILLIS) }
            return
        }
        val answer = verdict.value
        if (answer is OrderAnswer.Done) {
            known?.stopConfirmedAtPoll = executor.pollNumber
        } else if (known != null && answer is OrderAnswer.Refused) {
            log("stop refused", arrayOf("task" to order.run.task, "executor" to id, "reason" to answer.reason))
            registry.onOrderRefused(nowMillis, executor, answer.reason)
            registry.scheduleRetry(known, nowMillis + SchedulerSettings.RETRY_MILLIS)
        }
    }

    /** Records that [change] was stored under [revision]. */
    public fun onProgressStored(change: ProgressChange, revision: Revision) {
        change.job.revision = revision
        change.job.storedChangeNumber = maxOf(change.job.storedChangeNumber, change.changeNumber)
        if (change.record.phase.ended) change.job.visiblePhase = change.record.phase
    }

    /** Removes and returns at most [limit] changes that are to be stored. */
    public fun takeChanges(limit: Int): List<ProgressChange> = jobRegistry.takeChanges(limit)

    /**
     * Queues [changes] again after storing them failed. [storedRevisionOf] returns the revision of the stored progress
     * of a job, or null if that is not known better than before.
     */
    public fun returnChanges(changes: List<ProgressChange>, storedRevisionOf: (JobId) -> Revision?) {
        jobRegistry.returnChanges(changes, storedRevisionOf)
    }

    /**
     * Ends the job of [change] as failed, since the store can't hold its progress of [bytes] bytes. What is stored of
     * an ended job is small.
     */
    public fun failUnstorableJob(nowMillis: Long, change: ProgressChange, bytes: Int, reason: String) {
        val job = change.job
        if (job.phase.ended) return
        log("progress too large", arrayOf("job" to job.job.id, "bytes" to bytes, "why" to reason))
        endJob(nowMillis, job, JobPhase.FAILED)
    }

    /** Whether progress of jobs or rosters of pools are to be stored. */
    public val hasChanges: Boolean get() = jobRegistry.hasChanges || rosters.hasChanges

    /** Removes and returns at most [limit] ended jobs whose state no longer has to be kept. */
    public fun takeExpiredJobs(nowMillis: Long, limit: Int): List<JobState> {
        val expired = jobRegistry.takeExpired(nowMillis, settings.endedJobKeptMillis, limit)
        expired.forEach(crashAttribution::forget)
        return expired
    }

    /**
     * Handles the end of an outage of the store. Entries of executors that lapsed during the outage may be written
     * again shortly after.
     */
    public fun onStoreRegained(nowMillis: Long) {
        registry.onStoreRegained(nowMillis)
    }

    /**
     * Makes all decisions that are due and returns the orders to send. [wallMillis] is the wall-clock time in
     * milliseconds since 1970. [overdueMillis] is the time since the control lease lapsed; it is negative while the
     * lease is valid.
     *
     * A holder whose control lease has lapsed goes on for some time with the jobs and executors that it knew before,
     * since the store may be unreachable for all nodes. This is safe: a later holder starts none of these tasks
     * elsewhere before it has fenced every executor, or before all run leases that were given in time have lapsed. No
     * run lease reaches beyond that time. When too little of it is left for a useful lease, executors are only polled.
     * Run leases that lapse after the control lease end no run, since a later holder may have extended them.
     *
     * [knowledge] tells how current the jobs and cancellations are that this scheduler was told of, and
     * [executorsAsOfMillis] up to which time everything that was stored of the executors' entries is known. By default
     * the caller vouches for them. While one of them is too old no task is started, and no start is repeated. Stops,
     * polls and extensions of leases go on.
     */
    public fun runSchedulingPass(
        nowMillis: Long,
        wallMillis: Long,
        overdueMillis: Long,
        knowledge: JobKnowledge = JobKnowledge.current(nowMillis),
        executorsAsOfMillis: Long = nowMillis,
    ): List<ExecutorOrder> {
        controlLease.update(nowMillis, overdueMillis)
        jobKnowledge = knowledge
        startHold.update(nowMillis, knowledge, executorsAsOfMillis)
        starter.jobsAgeMillis = knowledge.ageMillis(nowMillis)
        val soleHolderMillis = controlLease.soleHolderMillis(nowMillis)
        recovery.takeRecoveredPools(soleHolderMillis) { mayReportEnds(soleHolderMillis, it) }.forEach { pool ->
            log("recovery over", arrayOf("epoch" to epoch, "pool" to pool, "active" to activeJobs.size))
            placer.markPoolStale(pool)
        }
        jobRegistry.addDueOccurrences(nowMillis, wallMillis)
        rosters.markOutdatedRecords(nowMillis)
        registry.takeNewlyLost().forEach(crashAttribution::onExecutorLost)
        registry.findLapsedExecutors(nowMillis, soleHolderMillis, recovery::isAwaited).forEach { executor ->
            recovery.markSeen(executor.record.id)
            val evidence = RunEndEvidence.LeasesLapsed(registry.leasesLapsedAtMillis(executor))
            unreportedEnds.onLeasesLapsed(nowMillis, executor, evidence)
        }
        val valid = controlLease.isValid
        val leaseMillis = settings.leaseMillis - maxOf(0, overdueMillis)
        val mayStart = leaseMillis >= SchedulerSettings.MIN_LEASE_MILLIS
        starter.leaseMillis = leaseMillis
        if (valid) {
            endGivenUpJobs(nowMillis)
            registry.takeDueRetries(nowMillis, startHold.isActive).forEach { repeatOrder(nowMillis, it) }
            if (!startHold.isActive) runMover.moveDueRuns(nowMillis)
        }
        absences.observe(nowMillis, startHold.isActive)
        if (mayStart && !startHold.isActive) {
            starter.releaseHeldStarts(nowMillis).forEach { onRunNotStarted(nowMillis, it) }
            ledger.refresh(nowMillis)
            placer.placeWaitingTasks(nowMillis, soleHolderMillis)
        }
        registry.enqueueDuePolls(nowMillis, leaseMillis.takeIf { mayStart })
        return registry.takeOrders(mayStart)
    }

    /** Whether tasks unknown to this holder may run on executor [id], which has been listed since [listedMillis]. */
    internal fun mayRunUnknownTasks(nowMillis: Long, id: InstanceId, listedMillis: Long): Boolean {
        val executor = registry.executors[id] ?: return nowMillis < registry.unknownLeasesLapsedAtMillis(listedMillis)
        return !executor.knowsEpoch && nowMillis < registry.leasesLapsedAtMillis(executor)
    }

    /** Whether executor [id] may still report ends to this holder, before the leases that it gave have lapsed. */
    private fun mayReportEnds(nowMillis: Long, id: InstanceId): Boolean {
        val executor = registry.executors[id]?.takeIf { it.knowsEpoch } ?: return false
        return executor.unreachableSinceMillis == null || nowMillis < registry.leasesLapsedAtMillis(executor)
    }

    private fun onRunStarted(run: Run) {
        val job = run.task.step.job
        if (job.phase == JobPhase.QUEUED) job.phase = JobPhase.RUNNING
        if (job.visiblePhase == JobPhase.QUEUED) job.visiblePhase = JobPhase.RUNNING
        if (job.phase.ended) stopRun(run, "job ended")
    }

    private fun onRunNotStarted(nowMillis: Long, run: Run) {
        unreportedEnds.removeRun(nowMillis, run, RunEndEvidence.NotStarted(nowMillis))
    }

    private fun repeatOrder(nowMillis: Long, run: Run) {
        if (run.phase == RunPhase.STOPPING) {
            enqueueStop(run)
        } else if (starter.repeatStart(nowMillis, run)) {
            stopRun(run, "its start can't be repeated")
        }
    }
}

// Registry of the executors that the holder of the control lease knows, and the queue of orders to them. It tracks
// which executors are listed and which answer, decides when to poll each, and when the leases of the runs on a silent
// executor have lapsed.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.RefusalReason
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.port.PollOrder
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.batch.state.slowClockMillis
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict

/** What the scheduler has to do after a poll. */
internal sealed interface PollResult {
    /** The executor reported its runs. [newIncarnation] tells that it has restarted since the last report. */
    class Report(val report: ExecutorReport, val newIncarnation: Boolean) : PollResult

    /** Another executor answers at the address, so the executor no longer runs. */
    data object AddressReused : PollResult

    /** There is no report: the poll failed or was refused, or its answer tells of an earlier incarnation. */
    data object NoReport : PollResult
}

/** Known executors and the orders that wait to be taken. [epoch] is sent with each poll. */
internal class ExecutorRegistry(
    private val settings: SchedulerSettings,
    private val epoch: Epoch,
    private val log: DecisionLog,
) {
    val executors = HashMap<InstanceId, ExecutorState>()
    private val orders = ArrayList<ExecutorOrder>()

    /**
     * Last known incarnations of ended executors whose entries still stood in the store, by executor. Such an entry is
     * ignored until it shows a later incarnation.
     */
    private val endedById = HashMap<InstanceId, Incarnation>()
    private var outageSettledMillis = Long.MIN_VALUE

    private var lastPollNumber = 0L

    /**
     * Longest lease that may be given to an executor otherwise than by the orders of this term to its present
     * incarnation: one that it had before its first report here, or gets by an order that was under way then.
     */
    private val longestUnknownLeaseMillis = settings.maxLeaseMillis + SchedulerSettings.ORDER_TIMEOUT_MILLIS

    private val newlyLost = ArrayList<ExecutorState>()

    /** Called with the pool of each executor that is added, removed or found at another address. */
    var onMembersChanged: (PoolId) -> Unit = {}

    var fencedOff = false
        private set

    /** Removes and returns the executors that have been lost since the last call. */
    fun takeNewlyLost(): List<ExecutorState> = newlyLost.toList().also { newlyLost.clear() }

    fun enqueueOrder(order: ExecutorOrder) {
        orders += order
    }

    /** Earliest time at which a start or stop is to be repeated. */
    private var nextRetryMillis = Long.MAX_VALUE

    /** Tells whether the stop of a run that is evacuated may be repeated at the given time. */
    var mayRepeatEvacuation: (Long, Run) -> Boolean = { _, _ -> true }

    /** Schedules the repetition of the start or stop that [run] waits for. */
    fun scheduleRetry(run: Run, atMillis: Long) {
        run.retryAtMillis = atMillis
        nextRetryMillis = minOf(nextRetryMillis, atMillis)
    }

    /**
     * Returns the runs whose start or stop is to be repeated now and clears their retry times. Starts are not repeated
     * while the executor is silent, whose leases may lapse meanwhile, which ends the run; nor with [holdsStarts].
     */
    fun takeDueRetries(nowMillis: Long, holdsStarts: Boolean): List<Run> {
        if (nowMillis < nextRetryMillis) return emptyList()
        val (due, later) = executors.values.flatMap { it.runs.values }.filter { it.awaitsRetry }.partition { run ->
            val isHeld = run.phase == RunPhase.STARTING &&
                (holdsStarts || run.executor.unreachableSinceMillis != null)
            val isDue = !isHeld && run.retryAtMillis!! <= nowMillis
            isDue && (!run.isEvacuated || mayRepeatEvacuation(nowMillis, run))
        }
        due.forEach { it.retryAtMillis = null }
        nextRetryMillis = later.minOfOrNull { it.retryAtMillis!! } ?: Long.MAX_VALUE
        return due
    }

    /**
     * Removes and returns the queued orders. Unless [all] is set, only polls and forgets are taken, while starts and
     * stops stay in the queue.
     */
    fun takeOrders(all: Boolean): List<ExecutorOrder> {
        val due = if (all) orders.toList() else orders.filter { it is ExecutorOrder.Poll || it is ExecutorOrder.Forget }
        orders.removeAll(due.toSet())
        return due
    }

    /** Lets entries that lapsed during the outage count as listed until they have had time to be written again. */
    fun onStoreRegained(nowMillis: Long) {
        outageSettledMillis = nowMillis + settings.outageSettleMillis
        executors.values.filter { !it.listed }.forEach { it.presumedListedUntilMillis = outageSettledMillis }
    }

    /**
     * Adds or updates an executor from its entry in the store. Returns the executor if the entry shows a new
     * incarnation, in which case the runs of the earlier one have ended; otherwise null.
     */
    fun onListed(nowMillis: Long, record: ExecutorRecord): ExecutorState? {
        val known = executors[record.id]
        if (endedById[record.id]?.let { record.incarnation.startedAtMillis <= it.startedAtMillis } == true) return null
        if (known == null) {
            executors[record.id] = ExecutorState(record, nowMillis)
            onMembersChanged(record.pool)
            log(
                "executor listed",
                arrayOf("executor" to record.id, "pool" to record.pool, "address" to record.address),
            )
            return null
        }
        val moved = known.record.address != record.address
        if (moved) orders += ExecutorOrder.Forget(known.target)
        val newIncarnation = known.incarnation != null &&
            record.incarnation.startedAtMillis > known.incarnation!!.startedAtMillis
        if (record.draining && !known.record.draining) {
            log("executor draining", arrayOf("executor" to record.id, "remaining_ms" to record.remainingMillis))
        }
        if (moved || known.record.pool != record.pool) {
            onMembersChanged(known.record.pool)
            onMembersChanged(record.pool)
        }
        known.record = record
        if (moved) known.recorded = false
        known.listed = true
        if (!newIncarnation) return null
        known.incarnation = record.incarnation
        known.startNewIncarnation(nowMillis)
        known.unreachableSinceMillis = null
        log("executor started anew", arrayOf("executor" to record.id, "born" to record.incarnation.startedAtMillis))
        return known
    }

    /**
     * Adds executor [id] of [pool], which an earlier holder has used at [address] and which has no entry in the store.
     * It is only polled until it has an entry again.
     */
    fun addUnlisted(nowMillis: Long, id: InstanceId, pool: PoolId, address: String) {
        val record = ExecutorRecord(
            id,
            Incarnation(0),
            pool,
            address,
            DataCentreId(""),
            ResourceAmounts.NONE,
            emptySet(),
            draining = false,
            remainingMillis = null,
        )
        val executor = ExecutorState(record, nowMillis)
        executor.listed = false
        executor.unlistedMillis = nowMillis
        executors[id] = executor
        log("executor without entry", arrayOf("executor" to id, "pool" to pool, "address" to address))
    }

    fun onUnlisted(nowMillis: Long, id: InstanceId) {
        endedById.remove(id)
        val known = executors[id] ?: return
        if (!known.listed) return
        known.listed = false
        known.unlistedMillis = nowMillis
        if (nowMillis < outageSettledMillis) known.presumedListedUntilMillis = outageSettledMillis
        log("executor unlisted", arrayOf("executor" to id, "runs" to known.runs.size))
    }

    /** Removes [executor], on which nothing runs any more. */
    fun removeExecutor(executor: ExecutorState) {
        executors.remove(executor.record.id)
        onMembersChanged(executor.record.pool)
        if (executor.listed) endedById[executor.record.id] = executor.incarnation ?: executor.record.incarnation
        orders += ExecutorOrder.Forget(executor.target)
    }

    fun onPollAnswered(
        nowMillis: Long,
        executor: ExecutorState,
        order: ExecutorOrder.Poll,
        verdict: Verdict<PollAnswer>,
    ): PollResult {
        executor.pollInFlight = false
        executor.lastPollMillis = nowMillis
        if (verdict !is Verdict.Ran) {
            if (isInconclusive(nowMillis, executor)) {
                executor.inconclusivePolls++
            } else {
                addFailure(nowMillis, executor, "look")
            }
            return PollResult.NoReport
        }
        executor.inconclusivePolls = 0
        return when (val answer = verdict.value) {
            is PollAnswer.Reported -> onReport(nowMillis, executor, order, answer.report)

            is PollAnswer.Refused -> {
                onOrderRefused(nowMillis, executor, answer.reason)
                val isCurrent = order.target == executor.target && order.number > executor.incarnationKnownAtPoll
                if (answer.reason == RefusalReason.OTHER_INSTANCE) {
                    if (isCurrent) PollResult.AddressReused else PollResult.NoReport
                } else {
                    onPollRefused(nowMillis, executor)
                    PollResult.NoReport
                }
            }
        }
    }

    /**
     * A refused poll extends no lease and tells nothing of the runs. An executor that goes on refusing counts as lost,
     * so that its runs end for the holder once their leases have lapsed.
     */
    private fun onPollRefused(nowMillis: Long, executor: ExecutorState) {
        executor.refusedPolls++
        if (executor.refusedPolls >= REFUSED_POLLS_UNTIL_FAILED) addFailure(nowMillis, executor, "look")
    }

    /**
     * Whether the failure of a poll says nothing about [executor], since this process handles it long after the poll's
     * timeout: a process that is so late may have had the answer and not read it in time. Such an executor is polled
     * again and its leases are extended, a few times at most.
     */
    private fun isInconclusive(nowMillis: Long, executor: ExecutorState): Boolean =
        nowMillis - executor.pollTimeoutAtMillis >= OWN_DELAY_MILLIS &&
            executor.unreachableSinceMillis == null &&
            executor.inconclusivePolls < MAX_INCONCLUSIVE_POLLS

    private fun onReport(
        nowMillis: Long,
        executor: ExecutorState,
        order: ExecutorOrder.Poll,
        report: ExecutorReport,
    ): PollResult {
        val pollNumber = order.number
        val incarnation = report.incarnation
        val known = executor.incarnation
        val newIncarnation = incarnation != null && known != null && incarnation != known
        if (newIncarnation && pollNumber <= executor.incarnationKnownAtPoll &&
            incarnation.startedAtMillis < known.startedAtMillis
        ) {
            log("report outdated", arrayOf("executor" to executor.record.id, "born" to incarnation))
            return PollResult.NoReport
        }
        if (newIncarnation) {
            log("executor started anew", arrayOf("executor" to executor.record.id, "born" to incarnation))
            executor.startNewIncarnation(nowMillis)
        }
        if (known == null) executor.incarnationKnownAtPoll = pollNumber
        if (incarnation != null) executor.incarnation = incarnation
        if (executor.unreachableSinceMillis != null) {
            log("executor regained", arrayOf("executor" to executor.record.id))
            executor.unreachableSinceMillis = null
        }
        executor.failedCalls = 0
        executor.refusedPolls = 0
        executor.hasJustReported = true
        if (pollNumber > executor.incarnationKnownAtPoll) {
            executor.acknowledgedEndNumber = maxOf(executor.acknowledgedEndNumber, order.order.acknowledgedEndNumber)
        }
        executor.recordClock(nowMillis, report.clockMillis)
        val mayHaveUnknownLeases = executor.hasRestarted || epoch.value > SchedulerSettings.FIRST_EPOCH
        if (!executor.knowsEpoch && mayHaveUnknownLeases) {
            executor.recordUnknownLeases(longestUnknownLeaseMillis)
            // A stop by an earlier holder may have been accepted just before, and take effect after this report.
            executor.requirePresenceSince(nowMillis + settings.stopMillis)
        }
        executor.knowsEpoch = true
        return PollResult.Report(report, newIncarnation)
    }

    fun onOrderRefused(nowMillis: Long, executor: ExecutorState, reason: RefusalReason) {
        when (reason) {
            RefusalReason.FENCED -> {
                log("fenced off", arrayOf("executor" to executor.record.id, "epoch" to epoch))
                fencedOff = true
            }

            RefusalReason.UNHEALTHY ->
                executor.avoidUntilMillis = nowMillis + SchedulerSettings.UNHEALTHY_EXECUTOR_PAUSE_MILLIS

            else -> Unit
        }
    }

    /**
     * Counts a failed call to [executor]. Since a single answer may get lost, the executor counts as lost only when the
     * next call, a poll without waiting, fails too.
     */
    fun addFailure(nowMillis: Long, executor: ExecutorState, call: String) {
        executor.failedCalls++
        if (executor.unreachableSinceMillis != null || executor.failedCalls < FAILED_CALLS_UNTIL_LOST) return
        executor.unreachableSinceMillis = nowMillis
        newlyLost += executor
        log(
            "executor lost",
            arrayOf("executor" to executor.record.id, "call" to call, "runs" to executor.runs.size),
        )
    }

    /** Time at which all leases of [executor] have lapsed, whoever gave them, if no further ones are sent. */
    fun leasesLapsedAtMillis(executor: ExecutorState): Long = executor.leasesLapsedAtMillis(longestUnknownLeaseMillis)

    /**
     * Time at which all leases have lapsed that an executor may have had at [sinceMillis], if it gets no further
     * ones.
     */
    fun unknownLeasesLapsedAtMillis(sinceMillis: Long): Long = sinceMillis + slowClockMillis(longestUnknownLeaseMillis)

    /**
     * Returns the silent executors with runs whose leases have all lapsed by [soleHolderMillis]. Those that lapse later
     * may have been extended by a later holder. Silent executors whose entry has been missing for longer than the
     * settling time are removed from the registry, except those that [isAwaited] selects.
     */
    fun findLapsedExecutors(
        nowMillis: Long,
        soleHolderMillis: Long,
        isAwaited: (InstanceId) -> Boolean,
    ): List<ExecutorState> {
        val found = executors.values.filter { executor ->
            val knownMillis = if (executor.runs.isEmpty()) nowMillis else soleHolderMillis
            executor.unreachableSinceMillis != null && knownMillis >= leasesLapsedAtMillis(executor) &&
                (executor.runs.isNotEmpty() || !executor.listed)
        }
        found.filter { !it.listed && nowMillis - it.unlistedMillis > settings.outageSettleMillis }
            .filterNot { isAwaited(it.record.id) }
            .forEach(::removeExecutor)
        return found.filter { it.runs.isNotEmpty() }
    }

    /**
     * Queues the polls that are due. They extend leases to [leaseMillis] from now, or leave them as they are if that is
     * null.
     */
    fun enqueueDuePolls(nowMillis: Long, leaseMillis: Long?) {
        for (executor in executors.values) {
            if (!executor.pollInFlight && nowMillis >= nextPollMillis(executor)) {
                enqueuePoll(nowMillis, executor, leaseMillis)
            }
        }
    }

    /**
     * Number up to which a poll tells [executor] to drop its ends; 0 for none. The number counts for any incarnation
     * that the poll reaches, and a later one would drop ends that it has never reported. So it is sent only directly
     * after a report, and only until a report has answered it.
     */
    private fun endNumberToAcknowledge(executor: ExecutorState): Long =
        executor.acknowledgeableEndNumber().takeIf { executor.hasJustReported && it > executor.acknowledgedEndNumber }
            ?: 0

    private fun nextPollMillis(executor: ExecutorState): Long = when {
        executor.unreachableSinceMillis != null || executor.refusedPolls > 0 ->
            executor.lastPollMillis + SchedulerSettings.RETRY_MILLIS

        !executor.knowsEpoch || executor.failedCalls > 0 -> 0

        executor.pendingEnds.isNotEmpty() -> executor.lastPollMillis + SchedulerSettings.POLL_GAP_MILLIS

        executor.runs.isNotEmpty() || executor.hasUnwantedRuns -> 0

        executor.acknowledgeableEndNumber() > executor.acknowledgedEndNumber -> 0

        else -> executor.lastPollMillis + SchedulerSettings.IDLE_POLL_MILLIS
    }

    private fun enqueuePoll(nowMillis: Long, executor: ExecutorState, leaseMillis: Long?) {
        val reachable = executor.unreachableSinceMillis == null
        val extend = reachable && executor.knowsEpoch && executor.runs.isNotEmpty()
        val awaitsEnds = reachable && executor.knowsEpoch && (executor.runs.isNotEmpty() || executor.hasUnwantedRuns)
        val busy = awaitsEnds && executor.failedCalls == 0
        val leaseEndMillis = leaseMillis?.takeIf { extend }?.let { executor.leaseEndMillis(nowMillis, it) }
        leaseEndMillis?.let(executor::recordLeaseEnd)
        val acknowledgedEndNumber = endNumberToAcknowledge(executor)
        executor.hasJustReported = false
        executor.pollInFlight = true
        executor.pollNumber = ++lastPollNumber
        executor.lastPollMillis = nowMillis
        executor.pollSentMillis = nowMillis
        val wait = if (busy) SchedulerSettings.POLL_WAIT_MILLIS else null
        executor.pollTimeoutAtMillis = nowMillis + (wait ?: 0) + SchedulerSettings.POLL_TIMEOUT_MILLIS
        orders += ExecutorOrder.Poll(
            executor.target,
            executor.pollNumber,
            PollOrder(epoch, acknowledgedEndNumber, leaseEndMillis, wait),
        )
    }

    private companion object {
        /** Failed calls in a row after which an executor counts as lost. */
        const val FAILED_CALLS_UNTIL_LOST = 2

        /** Polls that an executor refused in a row from which on each counts as a failed call. */
        const val REFUSED_POLLS_UNTIL_FAILED = 2

        /** Delay between a poll's timeout and its handling from which on this process counts as late. */
        const val OWN_DELAY_MILLIS = 150L

        /** Inconclusive polls in a row after which a further one counts as a failed call. */
        const val MAX_INCONCLUSIVE_POLLS = 3
    }
}

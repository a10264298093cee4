// Executors as the holder of the control lease knows them: which are listed, which answer, when to look at them next,
// and when what runs on a silent one has lapsed.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.RefusalReason
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.port.PollOrder
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict

/** What a look at an executor showed. */
internal sealed interface Sight {
    /** Its lists; [reborn] tells that it has started anew since the last look. */
    class Report(val report: ExecutorReport, val reborn: Boolean) : Sight

    /** Something else has its address. */
    data object Gone : Sight

    /** No answer. */
    data object Nothing : Sight
}

/** All executors, and the orders that wait to be taken. */
internal class ExecutorBook(
    private val settings: SchedulerSettings,
    private val epoch: Epoch,
    private val log: DecisionLog,
) {
    val executors = HashMap<InstanceId, ExecutorState>()
    private val orders = ArrayList<Order>()

    /** Lifetimes that have ended, whose entries may stand in the store a little longer. */
    private val departed = HashMap<InstanceId, Incarnation>()
    private var settledMillis = Long.MIN_VALUE

    var fencedOff = false
        private set

    fun order(order: Order) {
        orders += order
    }

    /** When the first start or stop is to be repeated. */
    private var retryDueMillis = Long.MAX_VALUE

    /** Lets the order that [run] waits for be repeated at [atMillis]. */
    fun retryAt(run: Run, atMillis: Long) {
        run.retryMillis = atMillis
        retryDueMillis = minOf(retryDueMillis, atMillis)
    }

    /**
     * Takes the runs whose start or stop is to be repeated now. A start is not repeated while its executor is silent,
     * since it may lapse meanwhile.
     */
    fun takeRetries(nowMillis: Long): List<Run> {
        if (nowMillis < retryDueMillis) return emptyList()
        val (due, later) = executors.values.flatMap { it.runs.values }.filter { it.awaitsRetry }.partition { run ->
            val silent = run.phase == RunPhase.STARTING && run.executor.unreachableSinceMillis != null
            !silent && run.retryMillis!! <= nowMillis
        }
        due.forEach { it.retryMillis = null }
        retryDueMillis = later.minOfOrNull { it.retryMillis!! } ?: Long.MAX_VALUE
        return due
    }

    /** Takes the orders that have gathered; without [all], only looks, and the others stay. */
    fun takeOrders(all: Boolean): List<Order> {
        val taken = if (all) orders.toList() else orders.filter { it is Order.Look || it is Order.Forget }
        orders.removeAll(taken.toSet())
        return taken
    }

    /** Entries that lapsed during the outage count as listed for as long as they may take to come back. */
    fun storeRegained(nowMillis: Long) {
        settledMillis = nowMillis + settings.settleMillis
        executors.values.filter { !it.listed }.forEach { it.presumedUntilMillis = settledMillis }
    }

    /** Notes an entry; returns the executor if its runs belong to an earlier lifetime and are gone. */
    fun listed(nowMillis: Long, record: ExecutorRecord): ExecutorState? {
        val known = executors[record.id]
        if (departed[record.id]?.let { record.incarnation.startedAtMillis <= it.startedAtMillis } == true) return null
        if (known == null) {
            executors[record.id] = ExecutorState(record, nowMillis)
            log(
                "executor listed",
                arrayOf("executor" to record.id, "pool" to record.pool, "address" to record.address),
            )
            return null
        }
        val moved = known.record.address != record.address
        if (moved) orders += Order.Forget(known.target)
        val reborn = known.lifetime != null && record.incarnation.startedAtMillis > known.lifetime!!.startedAtMillis
        if (record.draining && !known.record.draining) {
            log("executor draining", arrayOf("executor" to record.id, "remaining_ms" to record.remainingMillis))
        }
        known.record = record
        known.listed = true
        if (!reborn) return null
        known.lifetime = record.incarnation
        known.reborn(nowMillis)
        known.unreachableSinceMillis = null
        log("executor started anew", arrayOf("executor" to record.id, "born" to record.incarnation.startedAtMillis))
        return known
    }

    fun unlisted(nowMillis: Long, id: InstanceId) {
        departed.remove(id)
        val known = executors[id] ?: return
        if (!known.listed) return
        known.listed = false
        known.unlistedMillis = nowMillis
        if (nowMillis < settledMillis) known.presumedUntilMillis = settledMillis
        log("executor unlisted", arrayOf("executor" to id, "runs" to known.runs.size))
    }

    /** Forgets [executor], on which nothing runs any more. */
    fun drop(executor: ExecutorState) {
        executors.remove(executor.record.id)
        if (executor.listed) departed[executor.record.id] = executor.lifetime ?: executor.record.incarnation
        orders += Order.Forget(executor.target)
    }

    fun looked(nowMillis: Long, executor: ExecutorState, verdict: Verdict<PollAnswer>): Sight {
        executor.looking = false
        executor.lastLookMillis = nowMillis
        if (verdict !is Verdict.Ran) {
            failed(nowMillis, executor, "look")
            return Sight.Nothing
        }
        return when (val answer = verdict.value) {
            is PollAnswer.Reported -> seen(nowMillis, executor, answer.report)

            is PollAnswer.Refused -> {
                refused(nowMillis, executor, answer.reason)
                if (answer.reason == RefusalReason.OTHER_INSTANCE) Sight.Gone else Sight.Nothing
            }
        }
    }

    private fun seen(nowMillis: Long, executor: ExecutorState, report: ExecutorReport): Sight {
        val born = report.incarnation
        val reborn = born != null && executor.lifetime != null && born != executor.lifetime
        if (reborn) {
            log("executor started anew", arrayOf("executor" to executor.record.id, "born" to born))
            executor.reborn(nowMillis)
        }
        if (born != null) executor.lifetime = born
        if (executor.unreachableSinceMillis != null) {
            log("executor regained", arrayOf("executor" to executor.record.id))
            executor.unreachableSinceMillis = null
        }
        executor.failedCalls = 0
        executor.noteClock(nowMillis, report.clockMillis)
        executor.fenced = true
        return Sight.Report(report, reborn)
    }

    fun refused(nowMillis: Long, executor: ExecutorState, reason: RefusalReason) {
        when (reason) {
            RefusalReason.FENCED -> {
                log("fenced off", arrayOf("executor" to executor.record.id, "epoch" to epoch))
                fencedOff = true
            }

            RefusalReason.UNHEALTHY ->
                executor.avoidUntilMillis = nowMillis + SchedulerSettings.UNHEALTHY_MILLIS

            else -> Unit
        }
    }

    /**
     * Notes that a call to [executor] failed. One lost answer is followed by a short look; the executor counts as
     * lost if that fails too.
     */
    fun failed(nowMillis: Long, executor: ExecutorState, call: String) {
        executor.failedCalls++
        if (executor.unreachableSinceMillis != null || executor.failedCalls < LOST_CALLS) return
        executor.unreachableSinceMillis = nowMillis
        log(
            "executor lost",
            arrayOf("executor" to executor.record.id, "call" to call, "runs" to executor.runs.size),
        )
    }

    /** Executors that are silent and on which everything has lapsed; those that are not listed are forgotten. */
    fun lapsed(nowMillis: Long): List<ExecutorState> {
        val found = executors.values.filter { executor ->
            executor.unreachableSinceMillis != null && nowMillis >= executor.lapseMillis() &&
                (executor.runs.isNotEmpty() || !executor.listed)
        }
        found.filter { !it.listed && nowMillis - it.unlistedMillis > settings.settleMillis }.forEach(::drop)
        return found.filter { it.runs.isNotEmpty() }
    }

    /** Orders the looks that are due, which extend leases to [leaseMillis] from now unless that is null. */
    fun look(nowMillis: Long, leaseMillis: Long?) {
        for (executor in executors.values) {
            if (!executor.looking && nowMillis >= nextLookMillis(executor)) {
                lookAt(nowMillis, executor, leaseMillis)
            }
        }
    }

    private fun nextLookMillis(executor: ExecutorState): Long = when {
        executor.unreachableSinceMillis != null -> executor.lastLookMillis + SchedulerSettings.RETRY_MILLIS
        !executor.fenced || executor.failedCalls > 0 -> 0
        executor.pendingEnds.isNotEmpty() -> executor.lastLookMillis + SchedulerSettings.LOOK_GAP_MILLIS
        executor.runs.isNotEmpty() || executor.forgettable() > executor.acknowledged -> 0
        else -> executor.lastLookMillis + SchedulerSettings.IDLE_LOOK_MILLIS
    }

    private fun lookAt(nowMillis: Long, executor: ExecutorState, leaseMillis: Long?) {
        val reachable = executor.unreachableSinceMillis == null
        val extend = reachable && executor.fenced && executor.runs.isNotEmpty()
        val busy = extend && executor.failedCalls == 0
        val leaseEnd = leaseMillis?.takeIf { extend }?.let { executor.leaseEnd(nowMillis, it) }
        leaseEnd?.let(executor::leaseSent)
        executor.acknowledged = executor.forgettable()
        executor.looking = true
        executor.lastLookMillis = nowMillis
        val wait = if (busy) SchedulerSettings.LOOK_WAIT_MILLIS else null
        orders += Order.Look(executor.target, PollOrder(epoch, executor.acknowledged, leaseEnd, wait))
    }

    private companion object {
        /** Calls without an answer in a row that make an executor count as lost. */
        const val LOST_CALLS = 2
    }
}

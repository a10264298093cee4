// Executors in virtual time for tests of whole nodes. They run what they are told to and report it.

package org.gypsumturn.node

import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.model.RefusalReason
import org.gypsumturn.batch.model.ReportedRun
import org.gypsumturn.batch.model.ReportedRunEnd
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunEnd
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.port.ExecutorCalls
import org.gypsumturn.batch.port.ExecutorTarget
import org.gypsumturn.batch.port.FleetUpdate
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.batch.port.FleetUpdatePage
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.port.PollOrder
import org.gypsumturn.batch.port.StartOrder
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/**
 * Executors x0, x1, ... of [pool]. Each run takes [runMillis]. A call to the store for their entries takes
 * [storeCallMillis]; null while the store answers nothing.
 */
internal class VirtualExecutors(
    private val loop: VirtualLoop,
    count: Int,
    private val pool: PoolId,
    private val capacity: ResourceAmounts,
    private val runMillis: Long,
    private val storeCallMillis: () -> Long? = { 4 },
) : ExecutorCalls {
    private class Executor {
        val running = LinkedHashSet<RunId>()
        val past = HashSet<RunId>()
        val ended = ArrayList<ReportedRunEnd>()
        var endCount = 0L
        var highestEpoch = 0L
    }

    /** A start of a run, and the time at which it was ordered. */
    class Start(val run: RunId, val atMillis: Long, val executor: InstanceId)

    private val executors = (0 until count).associate { InstanceId("x$it") to Executor() }
    val starts = ArrayList<Start>()
    val stops = ArrayList<RunId>()
    var pollCount = 0

    /** Job whose start orders get no answer and are not performed. */
    var unansweredStartsOf: JobId? = null

    private val entryChanges = ArrayList<FleetUpdate>()

    /** Number of polls of the entries that get no answer from now on. */
    var silentEntryPolls = 0

    /** Whether the entry of x0 changes with each poll, as the entries of a fleet do by their heartbeats. */
    var entriesChange = false

    /** Lets the entry of [id] show that it is draining. */
    fun drain(id: InstanceId) {
        entryChanges += FleetUpdate.ExecutorListed(recordOf(id).copy(draining = true, remainingMillis = 60_000))
    }

    /** Lists all executors, and then the changes of their entries. */
    val updates = object : SilentFleetUpdateFeed() {
        override fun readAll(kind: FleetUpdateKind, timeoutMillis: Long, onVerdict: VerdictCallback<FleetUpdatePage>) {
            val listed = executors.keys.map { FleetUpdate.ExecutorListed(recordOf(it)) }
            val page = FleetUpdatePage(listed, Revision(1), 0)
            val callMillis = storeCallMillis()
            loop.runAfter(callMillis ?: timeoutMillis) {
                onVerdict(if (callMillis == null) noAnswer() else Verdict.Ran(page))
            }
        }

        override fun awaitUpdates(
            kind: FleetUpdateKind,
            after: Revision,
            waitMillis: Long,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<FleetUpdatePage>,
        ) {
            var isAnswered = false
            val answerOnce = { verdict: Verdict<FleetUpdatePage> ->
                if (!isAnswered) onVerdict(verdict)
                isAnswered = true
            }
            loop.runAfter(timeoutMillis) { answerOnce(noAnswer()) }
            if (silentEntryPolls > 0) {
                silentEntryPolls--
                return
            }
            if (storeCallMillis() == null) return
            if (entriesChange) entryChanges += FleetUpdate.ExecutorListed(recordOf(InstanceId("x0")))
            follow(after, loop.nowMillis + waitMillis, answerOnce)
        }

        private fun follow(after: Revision, untilMillis: Long, onVerdict: (Verdict<FleetUpdatePage>) -> Unit) {
            val changed = entryChanges.drop((after.value - 1).toInt())
            if (changed.isEmpty() && loop.nowMillis < untilMillis) {
                loop.runAfter(POLL_STEP_MILLIS) { follow(after, untilMillis, onVerdict) }
            } else {
                val page = FleetUpdatePage(changed, Revision(1L + entryChanges.size), 0)
                storeCallMillis()?.let { loop.runAfter(it) { onVerdict(Verdict.Ran(page)) } }
            }
        }
    }

    private fun recordOf(id: InstanceId) = ExecutorRecord(
        id,
        Incarnation(1),
        pool,
        "10.0.0.2:1",
        DataCentreId("a"),
        capacity,
        emptySet(),
        false,
        null,
    )

    override fun startRun(
        target: ExecutorTarget,
        order: StartOrder,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<OrderAnswer>,
    ) {
        starts += Start(order.run, loop.nowMillis, target.id)
        if (order.run.task.job == unansweredStartsOf) {
            loop.runAfter(timeoutMillis) { onVerdict(noAnswer()) }
            return
        }
        val executor = executors.getValue(target.id)
        loop.runAfter(1) {
            val answer = when {
                order.epoch.value < executor.highestEpoch -> refuse(RefusalReason.FENCED)
                order.run in executor.past -> refuse(RefusalReason.SUPERSEDED)
                else -> OrderAnswer.Done(loop.nowMillis)
            }
            if (answer is OrderAnswer.Done && executor.running.add(order.run)) {
                loop.runAfter(runMillis) { end(executor, order.run, RunEnd.DONE) }
            }
            loop.runAfter(1) { onVerdict(Verdict.Ran(answer)) }
        }
    }

    private fun refuse(reason: RefusalReason) = OrderAnswer.Refused(reason, loop.nowMillis)

    private fun <T> noAnswer(): Verdict<T> = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time"))

    private fun end(executor: Executor, run: RunId, how: RunEnd) {
        if (!executor.running.remove(run)) return
        executor.past += run
        executor.ended += ReportedRunEnd(++executor.endCount, run, how, "")
    }

    override fun stopRun(
        target: ExecutorTarget,
        run: RunId,
        epoch: Epoch,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<OrderAnswer>,
    ) {
        stops += run
        val executor = executors.getValue(target.id)
        loop.runAfter(1) {
            executor.past += run
            end(executor, run, RunEnd.STOPPED)
            loop.runAfter(1) { onVerdict(Verdict.Ran(OrderAnswer.Done(loop.nowMillis))) }
        }
    }

    override fun setRunSpeed(
        target: ExecutorTarget,
        run: RunId,
        percent: Int,
        epoch: Epoch,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<OrderAnswer>,
    ) = onVerdict(Verdict.Ran(OrderAnswer.Done(loop.nowMillis)))

    override fun poll(
        target: ExecutorTarget,
        order: PollOrder,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<PollAnswer>,
    ) {
        pollCount++
        val executor = executors.getValue(target.id)
        loop.runAfter(1) {
            executor.highestEpoch = maxOf(executor.highestEpoch, order.epoch.value)
            executor.ended.removeIf { it.endNumber <= order.acknowledgedEndNumber }
            answerPoll(executor, order, loop.nowMillis + (order.waitMillis ?: 0), onVerdict)
        }
    }

    /** Answers a poll once there is an end to report, or at [untilMillis]. */
    private fun answerPoll(
        executor: Executor,
        order: PollOrder,
        untilMillis: Long,
        onVerdict: VerdictCallback<PollAnswer>,
    ) {
        when {
            order.epoch.value < executor.highestEpoch ->
                onVerdict(Verdict.Ran(PollAnswer.Refused(RefusalReason.FENCED)))

            executor.ended.isEmpty() && loop.nowMillis < untilMillis ->
                loop.runAfter(POLL_STEP_MILLIS) { answerPoll(executor, order, untilMillis, onVerdict) }

            else -> {
                val running = executor.running.map { ReportedRun(it, "", 100, 0) }
                val report = ExecutorReport(loop.nowMillis, Incarnation(1), running, executor.ended.toList())
                loop.runAfter(1) { onVerdict(Verdict.Ran(PollAnswer.Reported(report))) }
            }
        }
    }

    override fun closeConnections(target: ExecutorTarget) = Unit

    private companion object {
        const val POLL_STEP_MILLIS = 10L
    }
}

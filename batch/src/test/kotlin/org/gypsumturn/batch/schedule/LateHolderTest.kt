// A holder that is short of processor time handles the timeouts of its polls late. What it then misses says nothing
// about the executors, and their runs must neither lapse nor be started again.

package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.POOL
import org.gypsumturn.batch.TEST_SETTINGS
import org.gypsumturn.batch.VirtualExecutor
import org.gypsumturn.batch.configuration
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.model.ReportedRun
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.step
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

class LateHolderTest : AnnotationSpec() {
    private val id = InstanceId("x0")
    private val noAnswer = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer within the timeout of the call"))
    private var nowMillis = 1_000L

    /** A scheduler with one executor, on which one task runs. */
    private fun schedulerWithRun(): BatchScheduler {
        val scheduler = BatchScheduler(TEST_SETTINGS, Epoch(1), { _, _ -> })
        scheduler.configure(configuration(queue()))
        scheduler.onExecutorListed(nowMillis, VirtualExecutor(id, POOL, CAPACITY, emptySet()).record())
        answerPoll(scheduler, nextPoll(scheduler))
        scheduler.addJob(nowMillis, job(1, step()), null, Revision.ABSENT, true)
        runPass(scheduler)
        scheduler.takeRosterChanges(1).forEach { scheduler.onRosterStored(it, Revision(1)) }
        val orders = runPass(scheduler)
        val start = orders.filterIsInstance<ExecutorOrder.Start>().single()
        scheduler.onStartAnswered(nowMillis, start, Verdict.Ran(OrderAnswer.Done(nowMillis)))
        val poll = orders.filterIsInstance<ExecutorOrder.Poll>().single()
        answerPoll(scheduler, poll, ReportedRun(start.run.id, "", 10, 0))
        return scheduler
    }

    private fun answerPoll(scheduler: BatchScheduler, poll: ExecutorOrder.Poll, vararg running: ReportedRun) {
        val report = ExecutorReport(nowMillis, Incarnation(1), running.toList(), emptyList())
        scheduler.onPollAnswered(nowMillis, poll, Verdict.Ran(PollAnswer.Reported(report)))
    }

    private fun runPass(scheduler: BatchScheduler) = scheduler.runSchedulingPass(nowMillis, nowMillis, -1_000)

    private fun nextPoll(scheduler: BatchScheduler) = runPass(scheduler).filterIsInstance<ExecutorOrder.Poll>().single()

    /** Lets the next poll time out. The holder handles that [lateMillis] after the timeout. Returns the poll. */
    private fun failNextPoll(scheduler: BatchScheduler, lateMillis: Long): ExecutorOrder.Poll {
        val poll = nextPoll(scheduler)
        nowMillis += (poll.order.waitMillis ?: 0) + SchedulerSettings.POLL_TIMEOUT_MILLIS + lateMillis
        scheduler.onPollAnswered(nowMillis, poll, noAnswer)
        return poll
    }

    @Test
    fun `an executor is not taken for lost, and its leases are extended, when the holder itself is late`() {
        val scheduler = schedulerWithRun()
        repeat(3) { failNextPoll(scheduler, lateMillis = 400).order.leaseEndMillis.shouldNotBeNull() }
        scheduler.executors.getValue(id).unreachableSinceMillis.shouldBeNull()
        scheduler.executors.getValue(id).runs.size shouldBe 1
    }

    @Test
    fun `an executor that stays silent is taken for lost also by a late holder`() {
        val scheduler = schedulerWithRun()
        repeat(5) { failNextPoll(scheduler, lateMillis = 400) }
        scheduler.executors.getValue(id).unreachableSinceMillis.shouldNotBeNull()
    }

    @Test
    fun `a holder that is in time takes an executor for lost after two polls without an answer`() {
        val scheduler = schedulerWithRun()
        repeat(2) { failNextPoll(scheduler, lateMillis = 10) }
        scheduler.executors.getValue(id).unreachableSinceMillis.shouldNotBeNull()
    }

    private companion object {
        val CAPACITY = ResourceAmounts(16_000, 32_000, 0)
    }
}

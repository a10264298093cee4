package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.lease.ClockReadings
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.CallerLimits
import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.PoolRecord
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.model.queueId
import org.gypsumturn.batch.port.ExecutorCalls
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.ExecutorOrder
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import java.lang.reflect.Proxy

/** A holder of the control lease with one executor, whose clocks are set by the test. */
private class SenderPlay {
    var clock = ClockReadings(10_000, 1_000_000)
    val timeoutsMillis = ArrayList<Long>()
    private val scheduler = BatchScheduler(SchedulerSettings(5_000, 6_000, 120), Epoch(1), { _, _ -> })

    /** Records the timeouts of starts and answers no call. */
    private val executors = Proxy.newProxyInstance(javaClass.classLoader, arrayOf(ExecutorCalls::class.java)) {
            _,
            call,
            args,
        ->
        if (call.name == "startRun") timeoutsMillis += args[2] as Long
        null
    } as ExecutorCalls
    val sender = ExecutorOrderSender(scheduler, executors, null, Epoch(1), { it() }) { clock }

    /** The order to start the task of a job on an executor that has reported that it is idle. */
    fun decideStart(): ExecutorOrder.Start {
        val pool = PoolId("p")
        val queue = Queue(queueId("h", "/q/"), "h", "/q/", pool, 0, 2, 1.6, 600, 3_000, null)
        val pools = mapOf(pool to PoolRecord(pool, true, false, ""))
        scheduler.configure(FleetConfiguration(1, listOf(queue), pools, CallerLimits(1_000)))
        val room = ResourceAmounts(4_000, 8_000, 0)
        val born = Incarnation(1)
        scheduler.onExecutorListed(
            nowMillis(),
            ExecutorRecord(InstanceId("x"), born, pool, "10.0.0.1:1", DataCentreId("a"), room, emptySet(), false, null),
        )
        scheduler.onExecutorsRead(nowMillis())
        val step = Step(1, ResourceAmounts(1_000, 100, 0), 1_000)
        val job = BatchJob(JobId("%016x".format(1)), "h", "/q/", "", listOf(step))
        scheduler.addJob(nowMillis(), job, null, Revision.ABSENT, neverStarted = true)
        repeat(PASSES) {
            pass().filterIsInstance<ExecutorOrder.Poll>().forEach {
                val report = ExecutorReport(100, born, emptyList(), emptyList(), true)
                scheduler.onPollAnswered(nowMillis(), it, Verdict.Ran(PollAnswer.Reported(report)))
            }
            scheduler.takeRosterChanges(1).forEach { scheduler.onRosterStored(it, Revision(1)) }
            pass().filterIsInstance<ExecutorOrder.Start>().firstOrNull()?.let { return it }
            clock = ClockReadings(clock.steadyMillis + 1, clock.wallMillis + 1)
        }
        error("no start was decided")
    }

    private fun nowMillis() = clock.steadyMillis

    fun pass() = scheduler.runSchedulingPass(nowMillis(), clock.wallMillis, -1_000)

    private companion object {
        const val PASSES = 10
    }
}

class ExecutorOrderSenderTest : AnnotationSpec() {
    // Guards against: a start that was decided before a suspension is carried out by the next incarnation of its
    // executor, although another holder has taken over and started the task elsewhere (TWICE, UNASKED).
    @Test
    fun `a start is not sent after its time, by either clock`() = with(SenderPlay()) {
        val order = decideStart()
        val decided = clock
        clock = ClockReadings(decided.steadyMillis + 600, decided.wallMillis + 600)
        sender.send(order, decided)
        clock = ClockReadings(decided.steadyMillis, decided.wallMillis + 600)
        sender.send(order, decided)
        timeoutsMillis.shouldBeEmpty()
    }

    // Guards against: a start that is not sent is never decided again.
    @Test
    fun `a start that was not sent is decided again`() = with(SenderPlay()) {
        val order = decideStart()
        val decided = clock
        clock = ClockReadings(decided.steadyMillis + 700, decided.wallMillis + 700)
        sender.send(order, decided)
        clock = ClockReadings(decided.steadyMillis + 2_000, decided.wallMillis + 2_000)
        pass().filterIsInstance<ExecutorOrder.Start>().size shouldBe 1
    }

    // Guards against: a start that is sent late has more time than the scheduler gives it.
    @Test
    fun `the timeout of a start counts from its decision`() = with(SenderPlay()) {
        val order = decideStart()
        val decided = clock
        clock = ClockReadings(decided.steadyMillis + 250, decided.wallMillis - 5_000)
        sender.send(order, decided)
        timeoutsMillis.shouldContainExactly(350L)
    }
}

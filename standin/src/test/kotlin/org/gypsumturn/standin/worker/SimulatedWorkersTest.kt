// Tests the simulated workers: attempts, leases, reboots, usage, checkpoints and faults.

package org.gypsumturn.standin.worker

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.StartOutcome
import org.gypsumturn.ports.TaskAction
import org.gypsumturn.ports.TaskKey
import org.gypsumturn.ports.TaskStart
import org.gypsumturn.ports.TaskState
import org.gypsumturn.standin.ExecutionLog
import org.gypsumturn.standin.fault.InstanceFault

class SimulatedWorkersTest : AnnotationSpec() {
    private val worker = InstanceId("worker-1")
    private val log = ExecutionLog()
    private var nowMillis = 0L
    private var fault = InstanceFault.NONE
    private var rebooting = false
    private val workers = SimulatedWorkers(listOf(worker), 1_000, log, { fault }, { rebooting }) { nowMillis }

    override fun isolationMode() = io.kotest.core.spec.IsolationMode.InstancePerRoot

    private fun key(attempt: Int, epoch: Long = 1) = TaskKey(JobId("j"), attempt, Epoch(epoch))

    private fun startTask(key: TaskKey, payload: String = "run_millis=500", checkpoint: String? = null) =
        workers.start(worker, TaskStart(key, Capacity.ZERO, 2_000, payload, checkpoint), 1_000)

    private fun renewAndReport(vararg renewed: TaskKey) =
        workers.renew(worker, renewed.toList(), 2_000, 1_000).valueOrNull()!!.tasks

    private fun timesRun() = log.toReply().jobsList.sumOf { it.times }

    @Test
    fun `a task finishes after its run time, is reported until it is forgotten, and does not start again`() {
        startTask(key(1)) shouldBe Verdict.Ran(StartOutcome.STARTED)
        startTask(key(1)) shouldBe Verdict.Ran(StartOutcome.ALREADY_KNOWN)
        nowMillis = 600
        renewAndReport().single().state shouldBe TaskState.FINISHED
        renewAndReport().single().ranMillis shouldBe 500
        workers.forget(worker, listOf(key(1)), 1_000)
        renewAndReport() shouldBe emptyList()
        startTask(key(1)) shouldBe Verdict.Ran(StartOutcome.ALREADY_KNOWN)
        timesRun() shouldBe 1
    }

    @Test
    fun `an attempt with an older epoch or without a newer number is refused`() {
        startTask(key(2, 5))
        listOf(key(1, 5), key(2, 6), key(3, 4)).map { startTask(it) } shouldBe
            List(3) { Verdict.Ran(StartOutcome.REFUSED) }
        timesRun() shouldBe 1
    }

    @Test
    fun `a reboot interrupts tasks, and the worker then accepts the same attempt again`() {
        startTask(key(1))
        workers.reboot(worker)
        log.toReply().interruptedByRebootList shouldBe listOf("job:j")
        renewAndReport() shouldBe emptyList()
        startTask(key(1)) shouldBe Verdict.Ran(StartOutcome.STARTED)
        timesRun() shouldBe 2
    }

    @Test
    fun `a task stops when its lease lapses and runs on while its lease is renewed`() {
        startTask(key(1), "run_millis=5000")
        nowMillis = 1_900
        renewAndReport(key(1)).single().state shouldBe TaskState.RUNNING
        nowMillis = 3_800
        renewAndReport().single().state shouldBe TaskState.RUNNING
        nowMillis = 4_000
        renewAndReport().single().state shouldBe TaskState.LEASE_LAPSED
    }

    @Test
    fun `usage is reported after a lag, and a task resumes from its checkpoint`() {
        startTask(key(1), "run_millis=5000 cpu_milli=700")
        nowMillis = 999
        renewAndReport(key(1)).single().usage shouldBe Capacity.ZERO
        nowMillis = 1_000
        renewAndReport(key(1)).single().usage.processorsMilli shouldBe 700
        workers.act(worker, key(1), TaskAction.CHECKPOINT, 1_000)
        val checkpointed = renewAndReport().single()
        checkpointed.state shouldBe TaskState.CHECKPOINTED
        startTask(key(2), "run_millis=5000", checkpointed.output)
        nowMillis = 2_900
        renewAndReport(key(2)).last().state shouldBe TaskState.RUNNING
        nowMillis = 4_800
        renewAndReport(key(2)).last().state shouldBe TaskState.RUNNING
        nowMillis = 5_000
        renewAndReport().last().state shouldBe TaskState.FINISHED
    }

    @Test
    fun `a worker can fail tasks, never finish them, lose answers, or be unreachable during a reboot`() {
        fault = InstanceFault.FAIL_TASKS
        startTask(key(1))
        renewAndReport().last().state shouldBe TaskState.FAILED
        fault = InstanceFault.NEVER_RETURN
        startTask(key(2))
        nowMillis = 1_500
        renewAndReport(key(2)).last().state shouldBe TaskState.RUNNING
        fault = InstanceFault.CUT
        startTask(key(3)).shouldBeInstanceOf<Verdict.MayHaveRun>()
        rebooting = true
        startTask(key(4)).shouldBeInstanceOf<Verdict.NotRun>()
        timesRun() shouldBe 3
    }
}

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
    private var now = 0L
    private var fault = InstanceFault.NONE
    private var away = false
    private val workers = SimulatedWorkers(listOf(worker), 1_000, log, { fault }, { away }) { now }

    override fun isolationMode() = io.kotest.core.spec.IsolationMode.InstancePerRoot

    private fun key(attempt: Int, epoch: Long = 1) = TaskKey(JobId("j"), attempt, Epoch(epoch))

    private fun start(key: TaskKey, payload: String = "run_millis=500", checkpoint: String? = null) =
        workers.start(worker, TaskStart(key, Capacity.ZERO, 2_000, payload, checkpoint), 1_000)

    private fun report(vararg renewed: TaskKey) =
        workers.renew(worker, renewed.toList(), 2_000, 1_000).valueOrNull()!!.tasks

    private fun timesRun() = log.toReply().jobsList.sumOf { it.times }

    @Test
    fun `a task finishes after its run time and is reported until it is forgotten`() {
        start(key(1)) shouldBe Verdict.Ran(StartOutcome.STARTED)
        start(key(1)) shouldBe Verdict.Ran(StartOutcome.ALREADY_KNOWN)
        now = 600
        report().single().state shouldBe TaskState.FINISHED
        report().single().ranMillis shouldBe 500
        workers.forget(worker, listOf(key(1)), 1_000)
        report() shouldBe emptyList()
        start(key(1)) shouldBe Verdict.Ran(StartOutcome.ALREADY_KNOWN)
        timesRun() shouldBe 1
    }

    @Test
    fun `an attempt that is not newer, or of an older epoch, is refused`() {
        start(key(2, 5))
        listOf(key(1, 5), key(2, 6), key(3, 4)).map { start(it) } shouldBe
            List(3) { Verdict.Ran(StartOutcome.REFUSED) }
        timesRun() shouldBe 1
    }

    @Test
    fun `a reboot cuts what runs, and the worker remembers nothing`() {
        start(key(1))
        workers.reboot(worker)
        log.toReply().interruptedByRebootList shouldBe listOf("job:j")
        report() shouldBe emptyList()
        start(key(1)) shouldBe Verdict.Ran(StartOutcome.STARTED)
        timesRun() shouldBe 2
    }

    @Test
    fun `a task whose lease is not renewed lapses, and one whose lease is renewed goes on`() {
        start(key(1), "run_millis=5000")
        now = 1_900
        report(key(1)).single().state shouldBe TaskState.RUNNING
        now = 3_800
        report().single().state shouldBe TaskState.RUNNING
        now = 4_000
        report().single().state shouldBe TaskState.LEASE_LAPSED
    }

    @Test
    fun `usage lags, and a checkpoint saves what was done`() {
        start(key(1), "run_millis=5000 cpu_milli=700")
        now = 999
        report(key(1)).single().usage shouldBe Capacity.ZERO
        now = 1_000
        report(key(1)).single().usage.processorsMilli shouldBe 700
        workers.act(worker, key(1), TaskAction.CHECKPOINT, 1_000)
        val saved = report().single()
        saved.state shouldBe TaskState.CHECKPOINTED
        start(key(2), "run_millis=5000", saved.output)
        now = 2_900
        report(key(2)).last().state shouldBe TaskState.RUNNING
        now = 4_800
        report(key(2)).last().state shouldBe TaskState.RUNNING
        now = 5_000
        report().last().state shouldBe TaskState.FINISHED
    }

    @Test
    fun `faults of a worker - fails all tasks, never ends one, loses answers, is away`() {
        fault = InstanceFault.FAIL_TASKS
        start(key(1))
        report().last().state shouldBe TaskState.FAILED
        fault = InstanceFault.NEVER_RETURN
        start(key(2))
        now = 1_500
        report(key(2)).last().state shouldBe TaskState.RUNNING
        fault = InstanceFault.CUT
        start(key(3)).shouldBeInstanceOf<Verdict.MayHaveRun>()
        away = true
        start(key(4)).shouldBeInstanceOf<Verdict.NotRun>()
        timesRun() shouldBe 3
    }
}

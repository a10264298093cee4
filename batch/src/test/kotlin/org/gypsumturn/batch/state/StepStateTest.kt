// Tests that the counts of a step, which placement and sizing rely on, follow the runs and ends of its tasks.

package org.gypsumturn.batch.state

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.POOL
import org.gypsumturn.batch.VirtualExecutor
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.step
import org.gypsumturn.model.InstanceId
import kotlin.random.Random

class StepStateTest : AnnotationSpec() {
    private val capacity = ResourceAmounts(16_000, 32_000, 0)
    private val executors = List(3) { number ->
        ExecutorState(VirtualExecutor(InstanceId("x$number"), POOL, capacity, emptySet()).record(), 0)
    }

    private fun checkCounts(step: StepState) {
        step.unstartedCount shouldBe step.tasks.count { !it.done && it.runs.isEmpty() }
        step.doneCount shouldBe step.tasks.count { it.done }
        step.runCount shouldBe step.tasks.sumOf { it.runs.size }
        executors.forEach { executor ->
            step.runsOn(executor) shouldBe step.tasks.sumOf { task -> task.runs.count { it.executor === executor } }
        }
    }

    /** Adds a run of a random task, removes one, or marks the task as done. */
    private fun changeRandomTask(random: Random, step: StepState, number: Long) {
        val task = step.tasks.random(random)
        when (random.nextInt(5)) {
            0 -> task.markDone()
            1, 2 -> task.addRun(Run(RunId(task.name, number), task, executors.random(random), 0))
            else -> task.runs.firstOrNull()?.let { task.removeRun(EndedRun(it, RunEndEvidence.Reported)) }
        }
    }

    @Test
    fun `the counts of a step match its tasks after any sequence of starts, copies, ends and successes`() {
        repeat(50) { seed ->
            val random = Random(seed)
            val step = JobState(job(1, step(count = 6)), 0, 1).addOccurrence(0, 0).steps.single()
            repeat(60) { number ->
                changeRandomTask(random, step, number.toLong())
                checkCounts(step)
            }
        }
    }

    @Test
    fun `a run that is removed twice is counted once`() {
        val step = JobState(job(1, step(count = 1)), 0, 1).addOccurrence(0, 0).steps.single()
        val task = step.tasks.single()
        val run = Run(RunId(task.name, 1), task, executors.first(), 0)
        task.addRun(run)
        repeat(2) { task.removeRun(EndedRun(run, RunEndEvidence.Reported)) }
        checkCounts(step)
    }
}

// Tests that long-running tasks are started again in time when a machine goes down together with the holder, and the
// list of machines shows that.

package org.gypsumturn.batch.machines

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.TaskName
import org.gypsumturn.batch.schedule.RestartMonitor
import org.gypsumturn.batch.step
import org.gypsumturn.model.InstanceId
import kotlin.random.Random

private const val FOREVER_MILLIS = Long.MAX_VALUE / 1_000

/** Time from the takeover within which the tasks of a machine that the list shows as down run again. */
private const val BOUND_MILLIS = 2_500L

class TakeoverMachineCrashTest : AnnotationSpec() {
    private class Play(seed: Long) {
        val random = Random(seed)
        val fleet = VirtualFleet(8)
        val machines = VirtualMachines(fleet, spares = 0)
        val monitor = RestartMonitor(fleet)

        init {
            fleet.executors.values.forEach { it.holdsPolls = true }
            val step = step(count = 6).copy(longRunning = true, maxPerExecutor = 1, estimateMillis = 0)
            fleet.submit(job(1, step)) { FOREVER_MILLIS }
            run(3_500 + random.nextLong(1_000))
        }

        fun run(millis: Long) = machines.run(millis) { monitor.observe() }

        fun takeOver(epoch: Long) {
            fleet.takeOver(epoch)
            machines.takeOver(3_500, emptyMap())
        }

        fun running(): Set<TaskName> = fleet.executors.values.flatMapTo(HashSet()) { e -> e.runs.keys.map { it.task } }

        /** Ends a machine with a task of the job. The list shows the machine as down, and no executor on it. */
        fun crashMachine() {
            val victim = machines.machines.filter { fleet.executors[it.executor]?.runs?.isNotEmpty() == true }
                .random(random)
            machines.crash(victim, 60_000)
        }

        /** Time until all tasks run again. */
        fun untilAllRun(): Long {
            val begunMillis = fleet.nowMillis
            while (running().size < 6 && fleet.nowMillis - begunMillis < 15_000) run(5)
            return fleet.nowMillis - begunMillis
        }
    }

    // Guards against: a new holder waits for the leases of an executor whose machine the list shows as down.
    @Test
    fun `tasks of a machine that goes down at the takeover restart once the list has shown it`() {
        (1L..40L).flatMap { seed ->
            val play = Play(seed)
            play.crashMachine()
            play.takeOver(2)
            val millis = play.untilAllRun()
            play.fleet.breaches + listOf("seed $seed: $millis ms").filter { millis > BOUND_MILLIS }
        }.shouldBeEmpty()
    }

    // Guards against: the machines of executors are known to the next holder only and lost at the second takeover.
    @Test
    fun `tasks restart after a second takeover before the list has shown the machine to the first`() {
        (1L..40L).flatMap { seed ->
            val play = Play(seed)
            play.takeOver(2)
            play.run(play.random.nextLong(600))
            play.crashMachine()
            play.takeOver(3)
            val millis = play.untilAllRun()
            play.fleet.breaches + listOf("seed $seed: $millis ms").filter { millis > BOUND_MILLIS }
        }.shouldBeEmpty()
    }

    // Guards against: a machine that is missing from the list, or still shown with its executor, counts as down.
    @Test
    fun `tasks of a silent executor are not started again while its machine is not shown as down`() {
        (1L..40L).flatMap { seed ->
            val play = Play(seed)
            val silent = play.fleet.executors.values.filter { it.runs.isNotEmpty() }.random(play.random)
            val isMissing = play.random.nextBoolean()
            play.machines.isListed = { !isMissing || it.executor != silent.id }
            silent.reachable = false
            play.takeOver(2)
            val starts = play.fleet.starts.size
            play.run(3_000)
            play.fleet.starts.size shouldBe starts
            play.run(7_000)
            play.running().size shouldBe 6
            play.fleet.breaches
        }.shouldBeEmpty()
    }

    // Guards against: an executor that has another life on its machine is waited for.
    @Test
    fun `tasks restart when the list shows another executor on the machine`() {
        (1L..40L).flatMap { seed ->
            val play = Play(seed)
            val victim = play.machines.machines.filter { play.fleet.executors[it.executor]?.runs?.isNotEmpty() == true }
                .random(play.random)
            play.machines.crash(victim, 60_000)
            victim.executor = InstanceId("next-life")
            play.fleet.add("next-life", CAPACITY)
            victim.state = MachineState.UP
            play.takeOver(2)
            val millis = play.untilAllRun()
            play.fleet.breaches + listOf("seed $seed: $millis ms").filter { millis > BOUND_MILLIS }
        }.shouldBeEmpty()
    }
}

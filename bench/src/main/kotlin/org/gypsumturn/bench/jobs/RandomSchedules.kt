// Runs random schedules of crashes, pauses, lost answers, expired leases, competing owners, reboots and cancellations,
// to check the guarantees for jobs. A schedule depends on its seed only.

package org.gypsumturn.bench.jobs

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.Priority
import org.gypsumturn.ports.fake.PortFault
import org.gypsumturn.ports.fake.TaskScript
import org.gypsumturn.ports.fake.WorkerFault

/** What one schedule did, and the violations of the guarantees that it found. */
internal data class ScheduleOutcome(val seed: Long, val jobs: Int, val runs: Int, val violations: List<String>)

/** Runs the random schedule of [seed]. */
internal fun runRandomSchedule(seed: Long): ScheduleOutcome = RandomSchedule(seed).run()

private class RandomSchedule(private val seed: Long) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val faultShare = random.nextDouble() * MAX_FAULT_SHARE
    private val pauseShare = random.nextDouble() * MAX_PAUSE_SHARE
    private var isFaultFree = false
    private var isPaused = false
    private var outageUntilMillis = 0L
    private var jobs = 0
    private val simulation =
        JobSafetySimulation(
            NODES,
            WORKERS,
            SimulationHooks(
                tableFault = { isCommit -> tableFault(isCommit) },
                workerFault = { workerFault() },
                script = { _, task -> script(task.checkpoint != null) },
                beforeCall = { owner, _ -> maybePause(owner) },
            ),
        )

    fun run(): ScheduleOutcome {
        repeat(ROUNDS) { runRound() }
        isFaultFree = true
        simulation.workers.deliverDelayedStarts()
        simulation.runUntilAllEnded(SETTLE_MILLIS)
        return ScheduleOutcome(seed, jobs, simulation.workers.runs.size, simulation.findViolations())
    }

    private fun runRound() {
        simulation.nowMillis += random.nextLong(50, 1_000)
        if (chance(0.35)) repeat(random.nextInt(1, 4)) { accept() }
        if (chance(0.08)) cancelSome()
        if (chance(0.03)) simulation.workers.reboot(workerOf(random.nextInt(WORKERS)))
        if (chance(0.04)) simulation.restart(random.nextInt(NODES))
        if (chance(0.05)) simulation.workers.deliverDelayedStarts()
        if (chance(0.02)) outageUntilMillis = simulation.nowMillis + random.nextLong(1_000, 20_000)
        repeat(NODES) { node -> if (chance(0.8)) simulation.step(node, believedLive(node)) }
    }

    /** The processes that a process believes to be alive; processes may disagree. */
    private fun believedLive(node: Int): Set<NodeId> {
        if (!chance(0.2)) return simulation.liveNodes()
        return simulation.nodes.filterIndexed { index, _ -> index == node || chance(0.5) }.mapTo(HashSet()) { it.id }
    }

    private fun accept() {
        val priority = Priority.entries[random.nextInt(Priority.entries.size)]
        simulation.accept(JobSafetySimulation.jobSpec("job-${jobs++}", idempotent = chance(0.5), priority))
    }

    private fun cancelSome() {
        val share = random.nextDouble()
        simulation.cancel(simulation.accepted.keys.filter { chance(share) })
    }

    /** At random, pauses the calling owner in the middle of its step, while time passes and the other owners go on. */
    private fun maybePause(owner: Int) {
        if (isFaultFree || isPaused || !chance(pauseShare)) return
        isPaused = true
        val others = simulation.nodes.indices.filter { it != owner }
        val live = others.mapTo(HashSet()) { simulation.nodes[it].id }
        repeat(random.nextInt(1, 12)) {
            simulation.nowMillis += random.nextLong(100, 2_000)
            others.forEach { simulation.step(it, if (chance(0.7)) live else simulation.liveNodes()) }
        }
        isPaused = false
    }

    private fun tableFault(isCommit: Boolean): PortFault = when {
        isFaultFree -> PortFault.NONE

        simulation.nowMillis < outageUntilMillis -> if (isCommit && chance(0.3)) {
            PortFault.LOSE_REQUEST
        } else {
            PortFault.REFUSE
        }

        !chance(faultShare) -> PortFault.NONE

        !isCommit -> PortFault.REFUSE

        else -> PortFault.entries[random.nextInt(1, PortFault.entries.size)]
    }

    private fun workerFault(): WorkerFault = when {
        isFaultFree || !chance(faultShare) -> WorkerFault.NONE
        else -> WorkerFault.entries[random.nextInt(1, WorkerFault.entries.size)]
    }

    private fun script(resumed: Boolean): TaskScript {
        val millis = random.nextLong(100, 8_000)
        return TaskScript(if (resumed) millis / 2 else millis, Capacity(800, 300), fails = chance(0.1), output = "ok")
    }

    private fun chance(share: Double): Boolean = random.nextDouble() < share

    private companion object {
        const val NODES = 3
        const val WORKERS = 3
        const val ROUNDS = 80
        const val MAX_FAULT_SHARE = 0.25
        const val MAX_PAUSE_SHARE = 0.02
        const val SETTLE_MILLIS = 900_000L
    }
}

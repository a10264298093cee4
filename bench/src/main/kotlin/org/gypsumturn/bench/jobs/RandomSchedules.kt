// Random schedules of crashes, pauses, lost answers, lapsed leases, racing owners, reboots and cancellations. Each is
// given by its seed alone.

package org.gypsumturn.bench.jobs

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.Priority
import org.gypsumturn.ports.fake.PortFault
import org.gypsumturn.ports.fake.TaskScript
import org.gypsumturn.ports.fake.WorkerFault

/** What one schedule did and what was wrong. */
internal data class ScheduleOutcome(val seed: Long, val jobs: Int, val runs: Int, val faults: List<String>)

/** Runs the schedule of [seed]. */
internal fun runSchedule(seed: Long): ScheduleOutcome = RandomSchedule(seed).run()

private class RandomSchedule(private val seed: Long) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val faultShare = random.nextDouble() * MAX_FAULT_SHARE
    private val pauseShare = random.nextDouble() * MAX_PAUSE_SHARE
    private var isCalm = false
    private var isPaused = false
    private var outageUntilMillis = 0L
    private var jobs = 0
    private val world =
        JobWorld(
            NODES,
            WORKERS,
            WorldHooks(
                tableFault = { isCommit -> tableFault(isCommit) },
                workerFault = { workerFault() },
                script = { _, task -> script(task.checkpoint != null) },
                beforeCall = { owner, _ -> maybePause(owner) },
            ),
        )

    fun run(): ScheduleOutcome {
        repeat(ROUNDS) { round() }
        isCalm = true
        world.workers.deliverDelayedStarts()
        world.settle(SETTLE_MILLIS)
        return ScheduleOutcome(seed, jobs, world.workers.runs.size, world.faults())
    }

    private fun round() {
        world.nowMillis += random.nextLong(50, 1_000)
        if (chance(0.35)) repeat(random.nextInt(1, 4)) { accept() }
        if (chance(0.08)) cancelSome()
        if (chance(0.03)) world.workers.reboot(workerOf(random.nextInt(WORKERS)))
        if (chance(0.04)) world.restart(random.nextInt(NODES))
        if (chance(0.05)) world.workers.deliverDelayedStarts()
        if (chance(0.02)) outageUntilMillis = world.nowMillis + random.nextLong(1_000, 20_000)
        repeat(NODES) { node -> if (chance(0.8)) world.step(node, believedLive(node)) }
    }

    /** Processes may disagree on who lives. */
    private fun believedLive(node: Int): Set<NodeId> {
        if (!chance(0.2)) return world.liveNodes()
        return world.nodes.filterIndexed { index, _ -> index == node || chance(0.5) }.mapTo(HashSet()) { it.id }
    }

    private fun accept() {
        val priority = Priority.entries[random.nextInt(Priority.entries.size)]
        world.accept(JobWorld.spec("job-${jobs++}", idempotent = chance(0.5), priority))
    }

    private fun cancelSome() {
        val share = random.nextDouble()
        world.cancel(world.accepted.keys.filter { chance(share) })
    }

    /** Pauses the calling owner in the middle of its round, while time passes and the others go on. */
    private fun maybePause(owner: Int) {
        if (isCalm || isPaused || !chance(pauseShare)) return
        isPaused = true
        val others = world.nodes.indices.filter { it != owner }
        val live = others.mapTo(HashSet()) { world.nodes[it].id }
        repeat(random.nextInt(1, 12)) {
            world.nowMillis += random.nextLong(100, 2_000)
            others.forEach { world.step(it, if (chance(0.7)) live else world.liveNodes()) }
        }
        isPaused = false
    }

    private fun tableFault(isCommit: Boolean): PortFault = when {
        isCalm -> PortFault.NONE

        world.nowMillis < outageUntilMillis -> if (isCommit &&
            chance(0.3)
        ) {
            PortFault.LOSE_REQUEST
        } else {
            PortFault.REFUSE
        }

        !chance(faultShare) -> PortFault.NONE

        !isCommit -> PortFault.REFUSE

        else -> PortFault.entries[random.nextInt(1, PortFault.entries.size)]
    }

    private fun workerFault(): WorkerFault = when {
        isCalm || !chance(faultShare) -> WorkerFault.NONE
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

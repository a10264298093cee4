// Simulates the automatic maintenance of the target's fleet over two maintenance periods in virtual time. Instances are
// lost, restart or are replaced, racks and a data centre fail, and some reboots never return. No operator intervenes.

package org.gypsumturn.bench.fleet

import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.bench.Report
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.wave.planMaintenance
import org.gypsumturn.fleet.wave.planReservationSteps
import org.gypsumturn.fleet.wave.planWave
import org.gypsumturn.fleet.wave.unfinishedWaves
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.WaveState

private const val STEP_MILLIS = 5 * MINUTE_MILLIS
private const val STEPS_PER_DAY = (DAY_MILLIS / STEP_MILLIS).toInt()
private const val PERIOD_DAYS = 35
private const val FAILURES_PER_INSTANCE_AND_DAY = 92.0 / 6_200
private const val RESTARTS_PER_INSTANCE_AND_DAY = 1_900.0 / 6_200
private const val REPAIR_MILLIS = 4 * HOUR_MILLIS
private const val REPAIRS_PER_REPLACEMENT = 100
private const val REBOOT_FAILURE_SHARE = 0.002
private const val DAYS_BETWEEN_RACK_FAILURES = 7
private const val DATA_CENTRE_FAILURE_DAY = 33
private const val RUN_START_MILLIS = 100 * DAY_MILLIS

internal fun maintenanceExperiment(report: Report, quick: Boolean) {
    val site = if (quick) targetSite(instances = 310, pools = 11) else targetSite()
    val days = 2 * PERIOD_DAYS
    report.remark("${site.name}: ${site.poolSizes.size} pools, $days days, seed 1, all due at the same moment at first")
    val run = MaintenanceSimulation(site, 1)
    run.run(days)
    report.figure("maintenance: reboots", run.reboots.toDouble(), "reboots")
    report.figure("maintenance: reboots an instance needs in that time", days.toDouble() / PERIOD_DAYS, "reboots")
    report.figure("maintenance: waves started", run.waves.toDouble(), "waves")
    report.figure("maintenance: waves that halted and were replaced", run.haltedWaves.toDouble(), "waves")
    report.figure("maintenance: changes to the view a day", run.changes.toDouble() / days, "changes")
    report.atMost(
        "maintenance: longest time without, of an instance in service",
        run.maxDaysWithoutReboot,
        "days",
        35.0,
    )
    report.atMost("maintenance: budget breaches", run.audit.breaches.toDouble(), "breaches", 0.0)
    run.audit.firstFinding?.let { report.remark("first finding: $it") }
}

internal class MaintenanceSimulation(private val site: Site, seed: Long) {
    private val random = RandomSource.XO_SHI_RO_256_PP.create(seed)
    private var view = site.initialView(RUN_START_MILLIS)
    private val lostUntilMillis = HashMap<InstanceId, Long>()
    private var nextInstanceNumber = site.instanceCount
    val audit = BudgetAudit()
    var reboots = 0
        private set
    var waves = 0
        private set
    var haltedWaves = 0
        private set
    var changes = 0
        private set
    var maxDaysWithoutReboot = 0.0
        private set

    fun run(days: Int) {
        for (step in 1..days * STEPS_PER_DAY) {
            val now = RUN_START_MILLIS + step * STEP_MILLIS
            injectFailures(step, now)
            view.instances.values.filter { it.state != InstanceState.SERVING }.forEach { advanceInstance(it, now) }
            submitPlannedCommands(now)
            if (step % STEPS_PER_DAY == 0) recordOldestInService(now)
        }
    }

    private fun submit(command: FleetCommand, now: Long) {
        val after = view.afterCommand(command, now)
        if (after === view) return
        audit.checkChange(view, after, instancesOf(command))
        changes++
        if (command is FleetCommand.StartWave) waves++
        if (command is FleetCommand.RecordWave && command.wave.state == WaveState.HALTED) haltedWaves++
        view = after
    }

    private fun submitPlannedCommands(now: Long) {
        planReservationSteps(view, now).forEach { submit(it, now) }
        unfinishedWaves(view).forEach { wave -> planWave(view, wave, now).forEach { submit(it.command, now) } }
        planMaintenance(view, now, PERIOD_DAYS * DAY_MILLIS).forEach { submit(it, now) }
    }

    private fun injectFailures(step: Int, now: Long) {
        repeat(randomEventCount(FAILURES_PER_INSTANCE_AND_DAY)) { loseInstance(randomInstance(), now, REPAIR_MILLIS) }
        repeat(randomEventCount(RESTARTS_PER_INSTANCE_AND_DAY)) { loseInstance(randomInstance(), now, 0) }
        if (step % (DAYS_BETWEEN_RACK_FAILURES * STEPS_PER_DAY) == 0) {
            val rack = randomInstance().domain.rack
            view.instances.values.filter { it.domain.rack == rack }.forEach { loseInstance(it, now, REPAIR_MILLIS) }
        }
        if (step == DATA_CENTRE_FAILURE_DAY * STEPS_PER_DAY) {
            val dataCentre = randomInstance().domain.dataCentre
            view.instances.values.filter { it.domain.dataCentre == dataCentre }
                .forEach { loseInstance(it, now, REPAIR_MILLIS) }
        }
    }

    /** A random number of events in one step whose mean corresponds to the rate [perInstanceAndDay]. */
    private fun randomEventCount(perInstanceAndDay: Double): Int {
        val mean = perInstanceAndDay * site.instanceCount / STEPS_PER_DAY
        return mean.toInt() + if (random.nextDouble() < mean - mean.toInt()) 1 else 0
    }

    private fun randomInstance(): Instance = view.instances.values.elementAt(random.nextInt(view.instances.size))

    private fun loseInstance(instance: Instance, now: Long, repairMillis: Long) {
        lostUntilMillis[instance.id] = now + repairMillis
        submit(FleetCommand.AdvanceInstance(instance.id, InstanceState.LOST, instance.revision), now)
    }

    private fun advanceInstance(instance: Instance, now: Long) {
        val next = when (instance.state) {
            InstanceState.DRAINING -> InstanceState.DRAINED
            InstanceState.REBOOTING -> if (random.nextDouble() < REBOOT_FAILURE_SHARE) null else InstanceState.WARMING
            InstanceState.WARMING -> InstanceState.SERVING
            InstanceState.LOST -> return repairOrReplace(instance, now)
            else -> null
        } ?: return
        if (instance.state == InstanceState.REBOOTING) reboots++
        if (instance.state == InstanceState.REBOOTING) recordDaysWithoutReboot(now, instance.maintainedAtMillis)
        submit(FleetCommand.AdvanceInstance(instance.id, next, instance.revision), now)
    }

    /** Once its repair time is over, a lost instance returns, or is replaced by a new one. */
    private fun repairOrReplace(instance: Instance, now: Long) {
        if (now < (lostUntilMillis[instance.id] ?: 0)) return
        if (random.nextInt(REPAIRS_PER_REPLACEMENT) == 0) {
            submit(FleetCommand.RemoveInstance(instance.id, instance.revision), now)
            submit(FleetCommand.AddInstance(site.createInstance(nextInstanceNumber++, instance.pool)), now)
        } else {
            submit(FleetCommand.AdvanceInstance(instance.id, InstanceState.WARMING, instance.revision), now)
        }
    }

    private fun recordOldestInService(now: Long) {
        val oldest = view.instances.values
            .filter { it.state == InstanceState.SERVING }
            .minOf { it.maintainedAtMillis }
        recordDaysWithoutReboot(now, oldest)
    }

    private fun recordDaysWithoutReboot(now: Long, maintainedAtMillis: Long) {
        maxDaysWithoutReboot = maxOf(maxDaysWithoutReboot, (now - maintainedAtMillis).toDouble() / DAY_MILLIS)
    }
}

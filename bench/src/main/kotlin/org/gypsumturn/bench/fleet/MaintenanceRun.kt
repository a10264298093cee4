// Automatic maintenance of the target's fleet over two periods in virtual time: losses, restarts, replacements,
// racks and a data centre that fail, and reboots that never return. No operator takes part.

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
private const val FAILURES_A_DAY = 92.0 / 6_200
private const val RESTARTS_A_DAY = 1_900.0 / 6_200
private const val REPAIR_MILLIS = 4 * HOUR_MILLIS
private const val REPLACED_ONE_IN = 100
private const val REBOOT_FAILURES = 0.002
private const val RACK_EVERY_DAYS = 7
private const val DATA_CENTRE_ON_DAY = 33
private const val RUN_START_MILLIS = 100 * DAY_MILLIS

internal fun maintenanceExperiment(report: Report, quick: Boolean) {
    val site = if (quick) targetSite(instances = 310, pools = 11) else targetSite()
    val days = 2 * PERIOD_DAYS
    report.remark("${site.name}: ${site.poolSizes.size} pools, $days days, seed 1, all due at the same moment at first")
    val run = MaintenanceRun(site, 1)
    run.run(days)
    report.figure("maintenance: reboots", run.reboots.toDouble(), "reboots")
    report.figure("maintenance: reboots an instance needs in that time", days.toDouble() / PERIOD_DAYS, "reboots")
    report.figure("maintenance: waves started", run.waves.toDouble(), "waves")
    report.figure("maintenance: waves that halted and were replaced", run.halted.toDouble(), "waves")
    report.figure("maintenance: changes to the view a day", run.changes.toDouble() / days, "changes")
    report.atMost("maintenance: longest time without, of an instance in service", run.longestDays, "days", 35.0)
    report.atMost("maintenance: budget breaches", run.audit.breaches.toDouble(), "breaches", 0.0)
    run.audit.firstFinding?.let { report.remark("first finding: $it") }
}

internal class MaintenanceRun(private val site: Site, seed: Long) {
    private val random = RandomSource.XO_SHI_RO_256_PP.create(seed)
    private var view = site.view(RUN_START_MILLIS)
    private val lostUntil = HashMap<InstanceId, Long>()
    private var nextNumber = site.instances
    val audit = BudgetAudit()
    var reboots = 0
        private set
    var waves = 0
        private set
    var halted = 0
        private set
    var changes = 0
        private set
    var longestDays = 0.0
        private set

    fun run(days: Int) {
        for (step in 1..days * STEPS_PER_DAY) {
            val now = RUN_START_MILLIS + step * STEP_MILLIS
            fail(step, now)
            view.instances.values.filter { it.state != InstanceState.SERVING }.forEach { progress(it, now) }
            plan(now)
            if (step % STEPS_PER_DAY == 0) measure(now)
        }
    }

    private fun submit(command: FleetCommand, now: Long) {
        val after = view.accept(command, now)
        if (after === view) return
        audit.check(view, after, touchedBy(command))
        changes++
        if (command is FleetCommand.StartWave) waves++
        if (command is FleetCommand.RecordWave && command.wave.state == WaveState.HALTED) halted++
        view = after
    }

    private fun plan(now: Long) {
        planReservationSteps(view, now).forEach { submit(it, now) }
        unfinishedWaves(view).forEach { wave -> planWave(view, wave, now).forEach { submit(it.command, now) } }
        planMaintenance(view, now, PERIOD_DAYS * DAY_MILLIS).forEach { submit(it, now) }
    }

    private fun fail(step: Int, now: Long) {
        repeat(events(FAILURES_A_DAY)) { lose(randomInstance(), now, REPAIR_MILLIS) }
        repeat(events(RESTARTS_A_DAY)) { lose(randomInstance(), now, 0) }
        if (step % (RACK_EVERY_DAYS * STEPS_PER_DAY) == 0) {
            val rack = randomInstance().domain.rack
            view.instances.values.filter { it.domain.rack == rack }.forEach { lose(it, now, REPAIR_MILLIS) }
        }
        if (step == DATA_CENTRE_ON_DAY * STEPS_PER_DAY) {
            val dataCentre = randomInstance().domain.dataCentre
            view.instances.values.filter { it.domain.dataCentre == dataCentre }
                .forEach { lose(it, now, REPAIR_MILLIS) }
        }
    }

    /** Number of events in one step at a rate per instance and day. */
    private fun events(perInstanceAndDay: Double): Int {
        val mean = perInstanceAndDay * site.instances / STEPS_PER_DAY
        return mean.toInt() + if (random.nextDouble() < mean - mean.toInt()) 1 else 0
    }

    private fun randomInstance(): Instance = view.instances.values.elementAt(random.nextInt(view.instances.size))

    private fun lose(instance: Instance, now: Long, repairMillis: Long) {
        lostUntil[instance.id] = now + repairMillis
        submit(FleetCommand.AdvanceInstance(instance.id, InstanceState.LOST, instance.revision), now)
    }

    private fun progress(instance: Instance, now: Long) {
        val next = when (instance.state) {
            InstanceState.DRAINING -> InstanceState.DRAINED
            InstanceState.REBOOTING -> if (random.nextDouble() < REBOOT_FAILURES) null else InstanceState.WARMING
            InstanceState.WARMING -> InstanceState.SERVING
            InstanceState.LOST -> return repair(instance, now)
            else -> null
        } ?: return
        if (instance.state == InstanceState.REBOOTING) reboots++
        if (instance.state == InstanceState.REBOOTING) record(now, instance.maintainedAtMillis)
        submit(FleetCommand.AdvanceInstance(instance.id, next, instance.revision), now)
    }

    /** A lost instance comes back, or a new one takes its place. */
    private fun repair(instance: Instance, now: Long) {
        if (now < (lostUntil[instance.id] ?: 0)) return
        if (random.nextInt(REPLACED_ONE_IN) == 0) {
            submit(FleetCommand.RemoveInstance(instance.id, instance.revision), now)
            submit(FleetCommand.AddInstance(site.instanceOf(nextNumber++, instance.pool)), now)
        } else {
            submit(FleetCommand.AdvanceInstance(instance.id, InstanceState.WARMING, instance.revision), now)
        }
    }

    private fun measure(now: Long) {
        val oldest = view.instances.values
            .filter { it.state == InstanceState.SERVING }
            .minOf { it.maintainedAtMillis }
        record(now, oldest)
    }

    private fun record(now: Long, maintainedAt: Long) {
        longestDays = maxOf(longestDays, (now - maintainedAt).toDouble() / DAY_MILLIS)
    }
}

// Orders for machines that the budget of missing tasks holds back, and the log lines that tell an operator what a wave
// waits for.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.schedule.DecisionLog

/** Keeps the last verdict on each machine whose order is held back, and writes them to [log]. */
internal class HeldOrders(private val log: DecisionLog) {
    private class Held(val verdict: DisruptionVerdict, val sinceMillis: Long)

    private val orders = HashMap<MachineId, Held>()
    private val loggedMillis = HashMap<Long, Long>()

    /** Records [verdict] on an order for [machine]. A new kind of reason is logged. Returns whether it may be sent. */
    fun record(nowMillis: Long, machine: MachineId, verdict: DisruptionVerdict): Boolean {
        if (verdict == DisruptionVerdict.Allowed) {
            orders -= machine
            return true
        }
        val earlier = orders[machine]
        val sinceMillis = earlier?.takeIf { endingCount(it.verdict) == endingCount(verdict) }?.sinceMillis ?: nowMillis
        orders[machine] = Held(verdict, sinceMillis)
        if (earlier?.verdict?.javaClass != verdict.javaClass) {
            log("machine order held", arrayOf("machine" to machine, "why" to verdict))
        }
        return false
    }

    /** Number of tasks that an order would end. It falls while the machine is being evacuated. */
    private fun endingCount(verdict: DisruptionVerdict): Int? = (verdict as? DisruptionVerdict.TooManyMissing)?.ending

    /**
     * Removes and returns the machines of the wave of [progress] without an open order that others should go before,
     * since the order has been held back for some time without an evacuation under way.
     */
    fun takeDueToGiveWay(nowMillis: Long, progress: UpkeepWaveProgress): List<MachineId> {
        val due = progress.cordonedMillis.keys.filter { id ->
            orders[id]?.let { nowMillis - it.sinceMillis >= PATIENCE_MILLIS } == true
        }
        orders -= due.toSet()
        return due
    }

    /** Logs what the wave of [progress] waits for, from time to time while orders for its machines are held back. */
    fun logWave(nowMillis: Long, progress: UpkeepWaveProgress) {
        val number = progress.wave.number
        val held = orders.filterKeys { it in progress.wave.machines }
        if (held.isEmpty() || nowMillis < (loggedMillis[number] ?: progress.startMillis) + LOG_INTERVAL_MILLIS) return
        loggedMillis[number] = nowMillis
        val reasons = held.entries.groupBy({ it.value.verdict }, { it.key }).entries.take(MAX_REASONS)
        log(
            "wave waits",
            arrayOf(
                "wave" to number,
                "done" to progress.done.size,
                "machines" to progress.wave.machines.size,
                "deadline_in_ms" to progress.deadlineMillis - nowMillis,
                "held" to reasons.map { (why, machines) -> "$machines: $why" },
            ),
        )
    }

    /** Drops what is kept of the wave with [number]. */
    fun forgetWave(number: Long) {
        loggedMillis -= number
    }

    private companion object {
        /** Time between two lines on one wave. */
        const val LOG_INTERVAL_MILLIS = 3_000L

        /** Time for which an order is held back before others go first. */
        const val PATIENCE_MILLIS = 3_000L

        /** Number of reasons that a line names at most. */
        const val MAX_REASONS = 5
    }
}

// Machines as the platform lists them, and the orders for them that are under way. A machine that was ordered down
// counts as down until the list shows it up again with another executor.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.model.PoolId

/** Stages of an order. */
internal enum class OrderStage { SENT, OPEN, CARRIED_OUT }

/** An order that is under way; [endsExecutor] tells that its being carried out ends the executor on the machine. */
internal class MachineTask(val order: MachineOrder, val endsExecutor: Boolean) {
    var stage = OrderStage.SENT

    /** When an order whose outcome is open is sent again. */
    var retryMillis = 0L

    /** When the platform said that it is carried out. */
    var carriedOutMillis = 0L
}

/** All machines. */
internal class MachineBook(private val times: MachineTimes) {
    private var machines: Map<MachineId, MachineRecord> = emptyMap()
    val tasks = HashMap<MachineId, MachineTask>()
    private val seenMillis = HashMap<MachineId, Long>()

    /** When the list was last read; null before. */
    var listedMillis: Long? = null
        private set

    val all: Collection<MachineRecord> get() = machines.values

    fun machine(id: MachineId): MachineRecord? = machines[id]

    /** Whether [id] has been missing from the list for so long that it has left, and does not only restart. */
    fun hasLeft(nowMillis: Long, id: MachineId): Boolean {
        if (id in machines) return false
        val seen = seenMillis.getOrPut(id) { nowMillis }
        return nowMillis - seen >= LEFT_MILLIS
    }

    /** Takes a whole list in; returns the orders that it shows to be over. */
    fun listed(nowMillis: Long, list: List<MachineRecord>): List<MachineOrder> {
        machines = list.associateBy { it.id }
        listedMillis = nowMillis
        machines.keys.forEach { seenMillis[it] = nowMillis }
        val over = tasks.values.filter { task ->
            val machine = machines[task.order.machine]
            machine == null || (task.stage == OrderStage.CARRIED_OUT && isBack(nowMillis, machine, task))
        }
        over.forEach { tasks.remove(it.order.machine) }
        return over.map { it.order }
    }

    /**
     * Whether the list shows that an order is over. The list lags, both when an order is given and after it, so that
     * another executor alone proves nothing until the order's time has passed.
     */
    private fun isBack(nowMillis: Long, machine: MachineRecord, task: MachineTask): Boolean {
        val order = task.order
        val elapsedMillis = nowMillis - task.carriedOutMillis
        val takesMillis = if (order is MachineOrder.Move) times.moveMillis else times.upkeepMillis
        if (machine.state != MachineState.UP || elapsedMillis < takesMillis) return false
        return when {
            order is MachineOrder.Move -> machine.pool == order.pool && machine.executor != order.executor

            order.executor != null && machine.executor != order.executor -> true

            order.executor != null && task.endsExecutor -> false

            // A machine that is off has no executor to tell by; an upkeep that was done before leaves the executor.
            else -> elapsedMillis >= takesMillis + LIST_LAG_MILLIS
        }
    }

    /** Machines that are in [pool] or on their way to it. */
    fun assigned(pool: PoolId): List<MachineRecord> = machines.values.filter { machine ->
        val order = tasks[machine.id]?.order
        machine.state != MachineState.DOWN &&
            if (order is MachineOrder.Move) order.pool == pool else machine.pool == pool
    }

    /**
     * Machines of [wave] that are down, or may be, for their upkeep. An earlier holder may have taken some down, and
     * may just have ordered those that are [doubtful].
     */
    fun downFor(wave: UpkeepWave, doubtful: (MachineId) -> Boolean): Int {
        val ordered = tasks.values.count { (it.order as? MachineOrder.Upkeep)?.wave == wave.number }
        return ordered + wave.machines.count {
            it !in tasks && (machines[it]?.state == MachineState.UPKEEP || doubtful(it))
        }
    }

    private companion object {
        /** A machine that has lost power is back in less; waves wait for it. */
        const val LEFT_MILLIS = 12_000L

        /** How far the list may lag behind an order. */
        const val LIST_LAG_MILLIS = 500L
    }
}

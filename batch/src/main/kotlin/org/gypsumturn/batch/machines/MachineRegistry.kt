// Registry of the machines in the platform's list and of the open orders for them. The list lags behind the orders, so
// a machine counts as down from its order for upkeep until the list shows that its upkeep is over.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.model.PoolId

/** Stage of an open order. */
internal enum class MachineOrderStage {
    /** Sent, and not answered yet. */
    SENT,

    /** Not answered, or answered with a rate limit. The order is sent again. */
    RETRY,

    /** Accepted by the platform. The list does not show the result yet. */
    CARRIED_OUT,
}

/**
 * An order whose result the list does not show yet.
 *
 * @property endsExecutor whether the executor on the machine has ended once the platform accepts the order
 */
internal class OpenMachineOrder(val order: MachineOrder, val endsExecutor: Boolean) {
    var stage = MachineOrderStage.SENT

    /** When an order in [MachineOrderStage.RETRY] is sent again. */
    var retryMillis = 0L

    /** When the platform accepted the order. */
    var carriedOutMillis = 0L
}

/** All machines in the platform's list, and at most one open order for each of them. */
internal class MachineRegistry(private val times: MachineTimes) {
    private var machines: Map<MachineId, MachineRecord> = emptyMap()
    val openOrders = HashMap<MachineId, OpenMachineOrder>()
    private val lastListedMillis = HashMap<MachineId, Long>()

    /** When the list was last read; null before the first time. */
    var lastListMillis: Long? = null
        private set

    val allMachines: Collection<MachineRecord> get() = machines.values

    fun machine(id: MachineId): MachineRecord? = machines[id]

    /** Whether machine [id] has been missing from the list for so long that it has left the fleet for good. */
    fun hasLeft(nowMillis: Long, id: MachineId): Boolean {
        if (id in machines) return false
        val listedMillis = lastListedMillis.getOrPut(id) { nowMillis }
        return nowMillis - listedMillis >= LEFT_FLEET_MILLIS
    }

    /** Replaces the machines by a complete [list]. Returns the orders whose end it shows; they are removed. */
    fun applyList(nowMillis: Long, list: List<MachineRecord>): List<MachineOrder> {
        machines = list.associateBy { it.id }
        lastListMillis = nowMillis
        machines.keys.forEach { lastListedMillis[it] = nowMillis }
        val ended = openOrders.values.filter { openOrder ->
            val machine = machines[openOrder.order.machine]
            machine == null ||
                (openOrder.stage == MachineOrderStage.CARRIED_OUT && showsEnd(nowMillis, machine, openOrder))
        }
        ended.forEach { openOrders.remove(it.order.machine) }
        return ended.map { it.order }
    }

    /**
     * Whether the list shows that the order is over. The list may lag behind events before and after the order, so
     * another executor on the machine proves nothing before the duration of the order has passed.
     */
    private fun showsEnd(nowMillis: Long, machine: MachineRecord, openOrder: OpenMachineOrder): Boolean {
        val order = openOrder.order
        val elapsedMillis = nowMillis - openOrder.carriedOutMillis
        val durationMillis = if (order is MachineOrder.Move) times.moveMillis else times.upkeepMillis
        if (machine.state != MachineState.UP || elapsedMillis < durationMillis) return false
        return when {
            order is MachineOrder.Move -> machine.pool == order.pool && machine.executor != order.executor

            order.executor != null && machine.executor != order.executor -> true

            order.executor != null && openOrder.endsExecutor -> false

            // The executor need not change: a machine that is off has none, and an upkeep that had already been done
            // before this order leaves the executor running.
            else -> elapsedMillis >= durationMillis + LIST_LAG_MILLIS
        }
    }

    /** Machines that are in [pool] or are being moved to it, except those that are down. */
    fun assigned(pool: PoolId): List<MachineRecord> = machines.values.filter { machine ->
        val order = openOrders[machine.id]?.order
        machine.state != MachineState.DOWN &&
            if (order is MachineOrder.Move) order.pool == pool else machine.pool == pool
    }

    /**
     * Number of machines of [wave] that are or may be down for their upkeep. That includes machines that an earlier
     * lease holder has taken down. [mayBeOrdered] tells which machines an earlier holder may have ordered down although
     * the list does not show it yet.
     */
    fun countDownFor(wave: UpkeepWave, mayBeOrdered: (MachineId) -> Boolean): Int {
        val ordered = openOrders.values.count { (it.order as? MachineOrder.Upkeep)?.wave == wave.number }
        return ordered + wave.machines.count {
            it !in openOrders && (machines[it]?.state == MachineState.UPKEEP || mayBeOrdered(it))
        }
    }

    private companion object {
        /** A machine that has lost power returns to the list in less time than this. Waves wait for it. */
        const val LEFT_FLEET_MILLIS = 12_000L

        /** Longest time by which the list lags behind an order. */
        const val LIST_LAG_MILLIS = 500L
    }
}

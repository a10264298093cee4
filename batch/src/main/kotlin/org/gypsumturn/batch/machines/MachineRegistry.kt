// Registry of the machines in the platform's list and of the open orders for them. The list lags behind the orders, so
// a machine counts as down from its order for upkeep until the list shows that its upkeep is over.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

/** Stage of an open order. */
internal enum class MachineOrderStage {
    /** Sent, and not answered yet. */
    SENT,

    /** Not answered, not sent, or answered with a rate limit. The order is sent again once it may be. */
    RETRY,

    /** Accepted by the platform. The list does not show the result yet. */
    CARRIED_OUT,
}

/**
 * An order whose result the list does not show yet.
 *
 * @property endsExecutor whether the executor on the machine has ended once the platform accepts the order
 * @property incarnation the incarnation of that executor that was known when the order was sent first
 */
internal class OpenMachineOrder(val order: MachineOrder, val endsExecutor: Boolean, val incarnation: Incarnation?) {
    var stage = MachineOrderStage.SENT

    /** When an order in [MachineOrderStage.RETRY] is sent again. */
    var retryMillis = 0L

    /** When the platform accepted the order. */
    var carriedOutMillis = 0L

    /** Whether an attempt was not answered, so that it may have been carried out. */
    var mayHaveRun = false

    /** When the order was sent last. */
    var sentMillis = 0L
}

/** All machines in the platform's list, and at most one open order for each of them. */
internal class MachineRegistry(private val times: MachineTimes) {
    private var machines: Map<MachineId, MachineRecord> = emptyMap()
    val openOrders = HashMap<MachineId, OpenMachineOrder>()
    private val lastListedMillis = HashMap<MachineId, Long>()

    /** The machine on which an executor was shown last while the machine was up. */
    private val machineByExecutor = HashMap<InstanceId, MachineId>()

    /** Executors whose machines the last list shows in another state than up, or with another executor. */
    private val endedExecutors = HashSet<InstanceId>()

    /** Executors that the last list shows on machines that are not up, and those of them that an order has ended. */
    private var executorsDown: Set<InstanceId> = emptySet()
    private var executorsUnderOrders: Set<InstanceId> = emptySet()

    /** When the last list was requested. */
    private var lastRequestMillis = 0L

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

    /**
     * Replaces the machines by a complete [list], which was requested at [requestMillis]. Returns the orders whose end
     * it shows; they are removed.
     */
    fun applyList(nowMillis: Long, requestMillis: Long, list: List<MachineRecord>): List<MachineOrder> {
        machines = list.associateBy { it.id }
        lastListMillis = nowMillis
        lastRequestMillis = requestMillis
        updateExecutors()
        machines.keys.forEach { lastListedMillis[it] = nowMillis }
        openOrders.values.filter(::showsNotRun).forEach { it.mayHaveRun = false }
        val ended = openOrders.values.filter { openOrder ->
            val machine = machines[openOrder.order.machine]
            if (machine == null) {
                hasLeft(nowMillis, openOrder.order.machine)
            } else {
                openOrder.stage == MachineOrderStage.CARRIED_OUT && showsEnd(requestMillis, machine, openOrder)
            }
        }
        ended.forEach { openOrders.remove(it.order.machine) }
        return ended.map { it.order }
    }

    /**
     * Whether the list shows that the order is over. The list may lag behind events before and after the order, so
     * another executor on the machine proves nothing before the duration of the order has passed.
     */
    private fun showsEnd(requestMillis: Long, machine: MachineRecord, openOrder: OpenMachineOrder): Boolean {
        val order = openOrder.order
        val elapsedMillis = requestMillis - openOrder.carriedOutMillis
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

    /**
     * Whether the last list shows that no attempt of an order without an answer was carried out: it was requested long
     * after the last one, and the executor that the order was to end is still on its machine.
     */
    private fun showsNotRun(openOrder: OpenMachineOrder): Boolean {
        val machine = machines[openOrder.order.machine] ?: return false
        return openOrder.stage == MachineOrderStage.RETRY && openOrder.mayHaveRun &&
            machine.state == MachineState.UP && machine.executor == openOrder.order.executor &&
            lastRequestMillis >= openOrder.sentMillis + LONGEST_ATTEMPT_MILLIS + LIST_DELAY_MILLIS
    }

    /** Whether the last list is recent enough for decisions on the machines that it shows. */
    fun isListRecent(nowMillis: Long): Boolean =
        lastListMillis != null && nowMillis - lastRequestMillis <= LIST_VALID_MILLIS

    private fun updateExecutors() {
        val (up, down) = machines.values.partition { it.state == MachineState.UP }
        val ordered = down.filter { it.state == MachineState.MOVING || it.state == MachineState.UPKEEP }
        executorsDown = down.mapNotNullTo(HashSet()) { it.executor }
        executorsUnderOrders = ordered.mapNotNullTo(HashSet()) { it.executor }
        val upNow = up.filter { it.executor != null }.associate { it.executor!! to it.id }
        endedExecutors.clear()
        machineByExecutor.filterKeys { it !in upNow }.forEach { (executor, id) ->
            val machine = machines[id] ?: return@forEach
            if (machine.state != MachineState.UP || machine.executor != null) endedExecutors += executor
        }
        machineByExecutor += upNow
        shownMachines = upNow
    }

    /** Adds executors that an earlier lease holder has seen on the given machines. */
    fun addEarlierExecutors(machineByEarlierExecutor: Map<InstanceId, MachineId>) {
        machineByExecutor += machineByEarlierExecutor
    }

    /** The machines that the last list shows as up, by the executors on them. */
    var shownMachines: Map<InstanceId, MachineId> = emptyMap()
        private set

    /** Forgets the machines of executors that are not [known] any more. */
    fun retainExecutors(known: Set<InstanceId>) {
        machineByExecutor.keys.retainAll(known)
    }

    /**
     * Whether the last list shows that [executor], which does not answer, has ended: its machine is not up, has another
     * executor, or is in another pool. The list must have been requested so long after the incarnation was known that
     * it can't show a time before that. A run that was ordered shortly before the request may be on a later
     * incarnation, which the list does not show yet. That a machine is missing in the list shows nothing.
     */
    fun showsEnd(executor: ExecutorState): Boolean {
        val id = executor.record.id
        if (id !in endedExecutors && id !in executorsDown && !isOfOtherPool(executor)) return false
        if (lastRequestMillis < executor.knownSinceMillis + LIST_DELAY_MILLIS) return false
        return executor.runs.values.none { run ->
            val openMillis = run.lastOrderedMillis?.takeIf { !run.reported || run.mayStartLate }
            openMillis != null && lastRequestMillis < openMillis + LIST_DELAY_MILLIS
        }
    }

    /** Whether the machine of [executor] is in another pool now, where it may be off. A move ends an executor. */
    private fun isOfOtherPool(executor: ExecutorState): Boolean {
        val machine = machineByExecutor[executor.record.id]?.let { machines[it] } ?: return false
        return machine.executor != executor.record.id && machine.pool != executor.record.pool
    }

    /** Whether the last list shows that an order has ended executor [id]. */
    fun isUnderOrder(id: InstanceId): Boolean = id in executorsUnderOrders

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

        /** Time after its request for which a list may be used for decisions. It covers a failed reading. */
        const val LIST_VALID_MILLIS = 4_000L

        /** Time from the sending of an order without an answer by which the platform has carried it out, if at all. */
        const val LONGEST_ATTEMPT_MILLIS = 3_000L

        /** Age of the state that a list shows at most when it is requested. */
        const val LIST_DELAY_MILLIS = 1_000L
    }
}

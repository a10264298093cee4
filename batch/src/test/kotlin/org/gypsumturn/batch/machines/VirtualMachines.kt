// Simulated machines with at most one executor each, which carry out the planner's orders in virtual time, and a list
// of machines that may lag or have gaps.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.POOL
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.PoolRecord
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.MachineAnswer
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict

internal val SPARE = PoolId("off")
internal val CAPACITY = ResourceAmounts(16_000, 32_000, 0)

/** Time after which an order without an answer has failed, and after which a late one is carried out. */
private const val ANSWER_TIMEOUT_MILLIS = 800L
private const val LATE_MILLIS = 300L

/**
 * Fault of an order whose answer is lost. `ANSWER_LOST`, `APPLIED_LATE` and `ORDER_LOST`: it is carried out at once,
 * late or never.
 */
internal enum class MachineOrderFault { ANSWER_LOST, APPLIED_LATE, ORDER_LOST }

/** Simulated machines with at most one executor each. They carry out the planner's orders in virtual time. */
internal class VirtualMachines(val fleet: VirtualFleet, spares: Int) {
    class VirtualMachine(val id: MachineId, var pool: PoolId, var executor: InstanceId?) {
        var state = MachineState.UP
        var upAgainAtMillis = 0L
        var targetPool: PoolId? = null
    }

    val configuration = FleetConfiguration(
        1,
        fleet.configuration.queues,
        fleet.configuration.pools + (SPARE to PoolRecord(SPARE, true, true, "")),
        fleet.configuration.limits,
    )
    val machines = fleet.executors.keys.map { VirtualMachine(MachineId("m-$it"), POOL, it) }.toMutableList()
    var planner = newPlanner(0)
        private set
    val upkeepStartMillis = HashMap<MachineId, Long>()
    var maxDownCount = 0

    /** The platform's answer to an order that it does not carry out; null for an order that it carries out. */
    var answerOf: (MachineOrder) -> MachineAnswer? = { null }

    /** The fault of an order whose answer is lost; null for an order that is answered. */
    var faultOf: (MachineOrder) -> MachineOrderFault? = { null }

    /** Time by which the list lags behind the machines. */
    var listLagMillis = 0L

    /** Whether the platform answers readings of the list. */
    var listAnswers = true
    private val doneUpkeeps = HashSet<Pair<MachineId, Long>>()
    private val pastLists = ArrayDeque<Pair<Long, List<MachineRecord>>>()

    /** Judges what the orders end. */
    val availability = AvailabilityMonitor(fleet)
    var moveCount = 0
    private var startedExecutors = 0

    init {
        repeat(spares) { machines += VirtualMachine(MachineId("spare-$it"), SPARE, null) }
        fleet.configuration = configuration
        fleet.scheduler.configure(configuration)
    }

    /** Lets a new lease holder take over that knows which machines, and executors on them, were [ordered] before. */
    fun takeOver(handoverMillis: Long, ordered: Map<InstanceId, MachineId>) {
        planner = newPlanner(handoverMillis)
        planner.markOrderedByPredecessors(ordered.values.toSet(), ordered)
    }

    /** Lets a new lease holder take over. It knows which machines were taken down, and which were [ordered] before. */
    fun takeOver(wave: UpkeepWave, handoverMillis: Long, ordered: Set<MachineId>) {
        planner = newPlanner(handoverMillis)
        planner.markOrderedByPredecessors(ordered)
        planner.addWave(fleet.nowMillis, wave, upkeepStartMillis.keys.toSet(), firstHolder = false)
    }

    /**
     * Lets a new lease holder take over while waves are in progress. [done] holds the machines that are stored as taken
     * down, by wave.
     */
    fun takeOver(
        waves: List<UpkeepWave>,
        done: Map<Long, Set<MachineId>>,
        handoverMillis: Long,
        ordered: Set<MachineId>,
    ) {
        planner = newPlanner(handoverMillis)
        planner.markOrderedByPredecessors(ordered)
        waves.forEach { planner.addWave(fleet.nowMillis, it, done[it.number].orEmpty(), firstHolder = false) }
    }

    /** Ends [machine]'s executor without an order. The machine is back after [downMillis] with another one. */
    fun crash(machine: VirtualMachine, downMillis: Long) {
        machine.executor?.let { fleet.executors.remove(it) }
        machine.executor = null
        machine.state = MachineState.DOWN
        machine.upAgainAtMillis = fleet.nowMillis + downMillis
    }

    /** Whether the list contains a machine, and the state that it shows in place of the present one. */
    var isListed: (VirtualMachine) -> Boolean = { true }
    var listedState: (VirtualMachine) -> MachineState? = { null }

    /** The platform's list of machines, without lag unless [listedState] says otherwise. */
    fun list() = machines.filter(isListed).map { machine ->
        val state = listedState(machine) ?: machine.state
        MachineRecord(machine.id, machine.pool, state, machine.executor, emptySet(), CAPACITY)
    }

    private fun newPlanner(handoverMillis: Long) = MachineOrderPlanner(
        MachineTimes(1_500, 2_000, handoverMillis),
        SizingPolicy(1_200.0, 1_500),
        fleet.nowMillis,
        fleet.scheduler,
    ) { event, fields -> fleet.log += "$event ${fields.toList()}" }

    fun run(millis: Long, onTick: () -> Unit = {}) {
        fleet.run(millis) {
            availability.observe()
            if (fleet.nowMillis % 100 == 0L) runPlanner()
            onTick()
        }
    }

    private fun runPlanner() {
        val now = fleet.nowMillis
        machines.filter { it.state != MachineState.UP && it.upAgainAtMillis <= now }.forEach(::finishOrder)
        if (listAnswers) planner.applyMachineList(now, now, laggingList(now))
        planner.decideOrders(now, configuration).forEach(::send)
        maxDownCount = maxOf(maxDownCount, machines.count { it.state == MachineState.UPKEEP })
    }

    private fun laggingList(now: Long): List<MachineRecord> {
        pastLists.addLast(now to list())
        while (pastLists.size > 1 && pastLists[1].first <= now - listLagMillis) pastLists.removeFirst()
        return pastLists.first().second
    }

    private fun send(order: MachineOrder) {
        val now = fleet.nowMillis
        val machine = machines.single { it.id == order.machine }
        val sender = planner
        val fault = faultOf(order)
        if (fault == null) {
            val answer = answerOf(order) ?: carryOut(now, machine, order)
            sender.onOrderAnswer(now, order, Verdict.Ran(answer))
            return
        }
        when (fault) {
            MachineOrderFault.ANSWER_LOST -> carryOut(now, machine, order)
            MachineOrderFault.APPLIED_LATE -> fleet.after(LATE_MILLIS) { carryOut(fleet.nowMillis, machine, order) }
            MachineOrderFault.ORDER_LOST -> Unit
        }
        fleet.after(ANSWER_TIMEOUT_MILLIS) {
            val failure = Failure(FailureKind.TIMEOUT, "no answer")
            sender.onOrderAnswer(fleet.nowMillis, order, Verdict.MayHaveRun(failure))
        }
    }

    /** Carries [order] out as the platform does, and returns its answer. */
    fun carryOut(now: Long, machine: VirtualMachine, order: MachineOrder): MachineAnswer {
        if (machine.state != MachineState.UP) return MachineAnswer.BUSY
        if (order is MachineOrder.Upkeep && !doneUpkeeps.add(machine.id to order.wave)) return MachineAnswer.DONE
        machine.executor?.let { id ->
            fleet.executors[id]?.let(availability::onExecutorEnded)
            fleet.executors.remove(id)
        }
        machine.executor = null
        if (order is MachineOrder.Move) {
            moveCount++
            machine.state = MachineState.MOVING
            machine.targetPool = order.pool
            machine.upAgainAtMillis = now + 1_500
        } else {
            upkeepStartMillis[machine.id] = now
            machine.state = MachineState.UPKEEP
            machine.upAgainAtMillis = now + 2_000
        }
        return MachineAnswer.DONE
    }

    private fun finishOrder(machine: VirtualMachine) {
        machine.state = MachineState.UP
        machine.pool = machine.targetPool ?: machine.pool
        machine.targetPool = null
        if (machine.pool != SPARE) {
            val name = "life-${startedExecutors++}"
            fleet.add(name, CAPACITY, machine.pool)
            machine.executor = InstanceId(name)
        }
    }
}

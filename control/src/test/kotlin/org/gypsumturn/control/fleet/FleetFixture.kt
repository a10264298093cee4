// Fixture for tests of the fleet reconciler: a platform, a table and control processes in virtual time.

package org.gypsumturn.control.fleet

import org.gypsumturn.fleet.capacity.CapacitySettings
import org.gypsumturn.fleet.capacity.CapacityWeights
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.peer.ChangeDecision
import org.gypsumturn.peer.ChangeHeader
import org.gypsumturn.peer.ChangeRunner
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.InstanceListing
import org.gypsumturn.ports.ListedInstance
import org.gypsumturn.ports.ListedState
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.view.NodeHeartbeat
import org.gypsumturn.view.NodeHeartbeatStore
import org.gypsumturn.view.StoredView
import org.gypsumturn.view.ViewLog

/** A platform whose instances have rebooted one second after the reboot was requested. */
internal class RebootingPlatform(private val now: () -> Long) : InstanceList {
    val rebootRequests = mutableListOf<InstanceId>()
    val leaving = mutableSetOf<InstanceId>()
    val missing = mutableSetOf<InstanceId>()
    var instances: List<Instance> = emptyList()
    private val rebootedAtMillis = HashMap<InstanceId, Long>()

    override fun list(timeoutMillis: Long): Verdict<InstanceListing> =
        Verdict.Ran(InstanceListing(now(), instances.filter { it.id !in missing }.map(::toListedInstance)))

    override fun reboot(instance: InstanceId, timeoutMillis: Long): Verdict<Unit> {
        rebootRequests += instance
        rebootedAtMillis[instance] = now()
        return Verdict.Ran(Unit)
    }

    private fun toListedInstance(instance: Instance): ListedInstance {
        val isBack = rebootedAtMillis[instance.id]?.let { now() - it >= REBOOT_MILLIS } ?: false
        val state = if (instance.id in leaving) ListedState.LEAVING else ListedState.LIVE
        val bootCount = if (isBack) 2L else 1L
        return ListedInstance(
            instance.id,
            instance.domain,
            instance.address,
            instance.capacity,
            instance.slots,
            instance.connections,
            state,
            bootCount,
        )
    }

    private companion object {
        const val REBOOT_MILLIS = 1_000L
    }
}

/** A control process in virtual time. Several processes may share [table]. */
internal class SimulatedControlProcess(
    name: String,
    table: TableStore,
    platform: InstanceList,
    private val clock: () -> Long,
) {
    private val log = ViewLog(table, TIMEOUT_MILLIS)
    private val heartbeatStore = NodeHeartbeatStore(table, TIMEOUT_MILLIS)
    private var stored = StoredView(FleetView(), Revision.ABSENT)
    private val runner = ChangeRunner(log, clock, { stored }, { update, _ -> stored = update.stored })
    private val commandRunner = FleetCommandRunner(runner)
    private var heartbeatCount = 0L
    val node = Node(NodeId(name), NodeRole.CONTROL, RegionId("r"), DataCentreId("d"), Address("127.0.0.1", 1))
    private val heartbeatReader = HeartbeatReader(heartbeatStore, maxGapMillis = 2_000)
    private val reconciler =
        FleetReconciler(
            node.id,
            { stored.view },
            commandRunner,
            heartbeatStore,
            heartbeatReader,
            platform,
            Rebooter(table, platform, TIMEOUT_MILLIS),
            CapacityPlanner(CapacitySettings(CapacityWeights(1.0, 1.0, 1.0)), 0),
            FleetReconcilerSettings(LAPSE_MILLIS, warmMillis = 500, lostMillis = 2_000, 0, TIMEOUT_MILLIS),
        )

    val view: FleetView get() = stored.view

    fun loadView() {
        log.loadSince(stored).valueOrNull()?.let { stored = it.stored }
    }

    fun writeHeartbeat(quarantined: List<InstanceId> = emptyList()) {
        heartbeatStore.write(NodeHeartbeat(node.id, view.version, ++heartbeatCount, quarantined = quarantined))
    }

    fun step() {
        loadView()
        heartbeatReader.readHeartbeats(clock())
        reconciler.step(CurrentTime(clock(), clock()))
    }

    fun join() {
        run { listOf(Mutation.PutNode(node)) }
        writeHeartbeat()
    }

    fun commit(mutations: List<Mutation>) {
        run { mutations }
    }

    fun command(command: FleetCommand) = commandRunner.run(header(), command)

    private fun run(mutations: () -> List<Mutation>) {
        runner.run<Nothing>(header()) { ChangeDecision.Make(mutations(), "test") }
    }

    private fun header() = ChangeHeader(OperationId("op-${node.id}-${++operationCount}"), OperatorId("test"), clock())

    companion object {
        const val TIMEOUT_MILLIS = 1_000L
        const val LAPSE_MILLIS = 5_000L
        private var operationCount = 0
    }
}

/** A fleet of one pool with [size] instances, and control processes that share [table], in virtual time. */
internal class FleetFixture(size: Int, budget: Int, names: List<String>, val table: FakeTableStore = FakeTableStore()) {
    var nowMillis = START_MILLIS
    val platform = RebootingPlatform { nowMillis }
    val pool = PoolId("plans")
    val processes = names.map { SimulatedControlProcess(it, table, platform) { nowMillis } }
    val aliveProcesses = processes.toMutableList()
    var maxOutOfService = 0

    init {
        val members = (1..size).map(::member)
        platform.instances = members
        processes.forEach {
            it.loadView()
            it.join()
        }
        val record = Pool(pool, PoolRole.SERVING, AvailabilityBudget(budget))
        processes.first().commit(listOf(Mutation.PutPool(record)) + members.map { Mutation.PutInstance(it) })
    }

    val view: FleetView
        get() = aliveProcesses.first().also { it.loadView() }.view

    /**
     * Runs all processes that are alive for [millis]. In each round, all write their heartbeats before the first one
     * steps.
     */
    fun run(millis: Long, quarantined: List<InstanceId> = emptyList(), beforeStep: () -> Unit = {}) {
        val end = nowMillis + millis
        while (nowMillis < end) {
            nowMillis += STEP_MILLIS
            aliveProcesses.forEach { it.loadView() }
            aliveProcesses.forEach { it.writeHeartbeat(quarantined) }
            beforeStep()
            aliveProcesses.toList().forEach { it.step() }
            val outOfService = view.membersOf(pool).count { it.state != InstanceState.SERVING }
            maxOutOfService = maxOf(maxOutOfService, outOfService)
        }
    }

    private fun member(number: Int) = Instance(
        InstanceId("i$number"),
        pool,
        FailureDomain(RegionId("r"), DataCentreId("d${number % 3}"), RackId("k${number % 6}")),
        Address("127.0.0.1", 1_000 + number),
        Capacity(8_000, 16_384),
        slots = 8,
        connections = 64,
        revision = ViewVersion.NONE,
    )

    private companion object {
        const val STEP_MILLIS = 250L
        const val START_MILLIS = 1_000_000L
    }
}

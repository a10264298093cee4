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

/** A platform whose instances come back one second after a reboot was asked for. */
internal class RebootingPlatform(private val now: () -> Long) : InstanceList {
    val asked = mutableListOf<InstanceId>()
    val leaving = mutableSetOf<InstanceId>()
    val gone = mutableSetOf<InstanceId>()
    var instances: List<Instance> = emptyList()
    private val rebootedAtMillis = HashMap<InstanceId, Long>()

    override fun list(timeoutMillis: Long): Verdict<InstanceListing> =
        Verdict.Ran(InstanceListing(now(), instances.filter { it.id !in gone }.map(::listed)))

    override fun reboot(instance: InstanceId, timeoutMillis: Long): Verdict<Unit> {
        asked += instance
        rebootedAtMillis[instance] = now()
        return Verdict.Ran(Unit)
    }

    private fun listed(instance: Instance): ListedInstance {
        val isBack = rebootedAtMillis[instance.id]?.let { now() - it >= REBOOT_MILLIS } ?: false
        val state = if (instance.id in leaving) ListedState.LEAVING else ListedState.LIVE
        val boots = if (isBack) 2L else 1L
        return ListedInstance(
            instance.id,
            instance.domain,
            instance.address,
            instance.capacity,
            instance.slots,
            instance.connections,
            state,
            boots,
        )
    }

    private companion object {
        const val REBOOT_MILLIS = 1_000L
    }
}

/** A control process in virtual time over a table that it may share with others. */
internal class UpkeepProcess(name: String, table: TableStore, platform: InstanceList, private val clock: () -> Long) {
    private val log = ViewLog(table, TIMEOUT)
    private val beats = NodeHeartbeatStore(table, TIMEOUT)
    private var logged = StoredView(FleetView(), Revision.ABSENT)
    private val runner = ChangeRunner(log, clock, { logged }, { followed, _ -> logged = followed.stored })
    private val commands = FleetCommands(runner)
    private var beatCount = 0L
    val node = Node(NodeId(name), NodeRole.CONTROL, RegionId("r"), DataCentreId("d"), Address("127.0.0.1", 1))
    private val watch = BeatWatch(beats, maxGapMillis = 2_000)
    private val upkeep =
        FleetUpkeep(
            node.id,
            { logged.view },
            commands,
            beats,
            watch,
            platform,
            Rebooter(table, platform, TIMEOUT),
            CapacityPlan(CapacitySettings(CapacityWeights(1.0, 1.0, 1.0)), 0),
            UpkeepSettings(LAPSE, warmMillis = 500, lostMillis = 2_000, 0, TIMEOUT),
        )

    val view: FleetView get() = logged.view

    fun follow() {
        log.loadSince(logged).valueOrNull()?.let { logged = it.stored }
    }

    fun beat(quarantined: List<InstanceId> = emptyList()) {
        beats.write(NodeHeartbeat(node.id, view.version, ++beatCount, quarantined = quarantined))
    }

    fun step() {
        follow()
        watch.step(clock())
        upkeep.step(Now(clock(), clock()))
    }

    fun join() {
        run { listOf(Mutation.PutNode(node)) }
        beat()
    }

    fun put(mutations: List<Mutation>) {
        run { mutations }
    }

    fun command(command: FleetCommand) = commands.run(header(), command)

    private fun run(mutations: () -> List<Mutation>) {
        runner.run<Nothing>(header()) { ChangeDecision.Make(mutations(), "test") }
    }

    private fun header() = ChangeHeader(OperationId("op-${node.id}-${++operations}"), OperatorId("test"), clock())

    companion object {
        const val TIMEOUT = 1_000L
        const val LAPSE = 5_000L
        private var operations = 0
    }
}

/** A fleet of one pool with [size] instances, kept by control processes that share a table, in virtual time. */
internal class FleetFixture(size: Int, budget: Int, names: List<String>, val table: FakeTableStore = FakeTableStore()) {
    var nowMillis = START
    val platform = RebootingPlatform { nowMillis }
    val pool = PoolId("plans")
    val processes = names.map { UpkeepProcess(it, table, platform) { nowMillis } }
    val alive = processes.toMutableList()
    var busiest = 0

    init {
        val members = (1..size).map(::member)
        platform.instances = members
        processes.forEach {
            it.follow()
            it.join()
        }
        val record = Pool(pool, PoolRole.SERVING, AvailabilityBudget(budget))
        processes.first().put(listOf(Mutation.PutPool(record)) + members.map { Mutation.PutInstance(it) })
    }

    val view: FleetView
        get() = alive.first().also { it.follow() }.view

    /** Runs all live processes for [millis], each beating before it works. */
    fun run(millis: Long, quarantined: List<InstanceId> = emptyList(), beforeStep: () -> Unit = {}) {
        val end = nowMillis + millis
        while (nowMillis < end) {
            nowMillis += STEP
            alive.forEach { it.follow() }
            alive.forEach { it.beat(quarantined) }
            beforeStep()
            alive.toList().forEach { it.step() }
            val out = view.membersOf(pool).count { it.state != InstanceState.SERVING }
            busiest = maxOf(busiest, out)
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
        const val STEP = 250L
        const val START = 1_000_000L
    }
}

// Test fixtures: a fleet view, a configuration and entries that listen on the loopback address.

package org.gypsumturn.entry

import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.gypsumturn.entry.http.CallerLimits
import org.gypsumturn.entry.http.RequestSizeLimits
import org.gypsumturn.entry.ledger.LedgerSettings
import org.gypsumturn.entry.target.TargetLimits
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Service
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.Team
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.InstanceListing
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.request.DispatchSettings
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.runtime.trace.Tracing
import org.gypsumturn.view.Readiness
import org.gypsumturn.view.ViewSource

/** A view source whose view and readiness are set by the test. Listeners are called once, on registration. */
class SettableViewSource(@Volatile var view: FleetView) : ViewSource {
    @Volatile
    var readiness = Readiness(true, "")

    override fun currentView(): FleetView = view

    override fun readiness(): Readiness = readiness

    override fun onView(listener: (FleetView) -> Unit) = listener(view)

    override fun onReadiness(listener: (Readiness) -> Unit) = listener(readiness)
}

/** A platform instance list without instances. */
object EmptyInstanceList : InstanceList {
    override fun list(timeoutMillis: Long) = Verdict.Ran(InstanceListing(0, emptyList()))

    override fun reboot(instance: InstanceId, timeoutMillis: Long) = Verdict.Ran(Unit)
}

private val domain = FailureDomain(RegionId("r"), DataCentreId("dc"), RackId("rack"))
private val pool = PoolId("plans")
private val entries = listOf("entry-1", "entry-2")

/**
 * A view with two services that are served by the targets on the ports [targets]. Requests to `quotes` are idempotent,
 * requests to `orders` are not.
 */
fun viewOf(targets: List<Int>, timeoutMillis: Long = 5_000, maxAnswerBytes: Int = 1_000, slots: Int = 8): FleetView {
    val services = listOf("quotes" to true, "orders" to false).map { (name, idempotent) ->
        Service(
            ServiceId(name),
            pool,
            timeoutMillis = timeoutMillis,
            idempotent = idempotent,
            maxAnswerBytes = maxAnswerBytes,
        )
    }
    val instances = targets.mapIndexed { index, port ->
        val address = Address("127.0.0.1", port)
        Instance(InstanceId("i$index"), pool, domain, address, Capacity.ZERO, slots, connections = 64)
    }
    val nodes = entries.map { name ->
        Node(NodeId(name), NodeRole.ENTRY, domain.region, domain.dataCentre, Address("127.0.0.1", 1))
    }
    return FleetView(
        ViewVersion(1),
        persistentMapOf(pool to Pool(pool, PoolRole.SERVING, AvailabilityBudget(1))),
        services.associateBy { it.id }.toPersistentMap(),
        persistentMapOf(TeamId("one") to Team(TeamId("one"), maxRequestsInFlight = 1)),
        instances.associateBy { it.id }.toPersistentMap(),
        nodes = nodes.associateBy { it.id }.toPersistentMap(),
    )
}

internal val TEST_CONFIG = EntryConfig(
    HostAndPort("127.0.0.1", 0),
    RequestSizeLimits(4_096, 8_192, 2_000),
    CallerLimits(requestReadMillis = 500, idleMillis = 60_000, answerWriteMillis = 5_000, maxPipelined = 16),
    TargetLimits(connectMillis = 500, idleMillis = 10_000, maxLineBytes = 4_096, maxHeaderBytes = 8_192),
    DispatchSettings(slowStartMillis = 0),
    LedgerSettings(repeatWaitMillis = 300, repeatPollMillis = 20, outcomeRetryMillis = 20, storeTimeoutMillis = 200),
    RetentionSettings(3_600_000, 100, 60_000),
    maxConnections = 1_000,
    maxOpenRequests = 1_000,
    maxHeldBytes = 1_048_576,
    jobWaitMillis = 5_000,
    eventLoops = 2,
    balancerLagMillis = 0,
    instanceListMillis = 1_000,
)

/** A running entry over [table]. */
internal class EntryFixture(
    val view: SettableViewSource,
    table: TableStore = FakeTableStore(),
    name: String = "entry-1",
    config: EntryConfig = TEST_CONFIG,
    tracing: Tracing = Tracing.none(),
) : AutoCloseable {
    /** Offset of the entry's monotonic clock, in milliseconds. A jump of it acts like a pause of the process. */
    @Volatile
    var clockAheadMillis = 0L

    constructor(target: FakeTarget, table: TableStore = FakeTableStore()) :
        this(SettableViewSource(viewOf(listOf(target.port))), table)

    val registry = PrometheusRegistry()
    val node = EntryNode(
        config,
        EntryDependencies(
            NodeId(name),
            view,
            table,
            EmptyInstanceList,
            tracing,
            EntryMetrics(registry),
            {},
            seed = 1,
            nowMillis = { System.nanoTime() / 1_000_000 + clockAheadMillis },
        ),
    )

    init {
        node.start()
    }

    fun caller() = RawCaller(node.port)

    fun countRequestsEndedWith(verdict: String): Double = registry.scrape { it == "gypsumturn_entry_requests" }
        .flatMap { it.dataPoints }
        .filter { it.labels.get("verdict") == verdict }
        .sumOf { (it as CounterSnapshot.CounterDataPointSnapshot).value }

    fun refusedConnections(): Double = registry.scrape { it == "gypsumturn_entry_connections_refused" }
        .flatMap { it.dataPoints }
        .sumOf { (it as CounterSnapshot.CounterDataPointSnapshot).value }

    override fun close() = node.stop()
}

/**
 * Runs [test] with a target that answers by [script] and an entry in front of it and of the targets on [otherPorts].
 */
internal fun withTargetAndEntry(
    script: (ReceivedRequest, TargetSocket) -> Unit = { request, socket -> socket.answer(request.body) },
    timeoutMillis: Long = 5_000,
    slots: Int = 8,
    otherPorts: List<Int> = emptyList(),
    test: (FakeTarget, EntryFixture) -> Unit,
) = FakeTarget(script).use { target ->
    val view = SettableViewSource(viewOf(listOf(target.port) + otherPorts, timeoutMillis, slots = slots))
    EntryFixture(view).use { test(target, it) }
}

// The stand-in as a whole: the platform's services over gRPC, the simulated executors and workers, and their faults.

package org.gypsumturn.standin

import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpHeaders
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.model.Address
import org.gypsumturn.model.InstanceId
import org.gypsumturn.ports.fake.FakeInstanceList
import org.gypsumturn.ports.fake.FakeObjectStore
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.grpc.PlatformServices
import org.gypsumturn.runtime.trace.Tracing
import org.gypsumturn.standin.fault.Faults
import org.gypsumturn.standin.fault.FaultsService
import org.gypsumturn.standin.fault.InstanceFault
import org.gypsumturn.standin.fault.SlowTableStore
import org.gypsumturn.standin.target.Target
import org.gypsumturn.standin.target.TargetHandler
import org.gypsumturn.standin.target.TargetLimits
import org.gypsumturn.standin.target.TargetPorts
import org.gypsumturn.standin.worker.SimulatedWorkers
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.math.ln

private const val EVENT_LOOPS = 2
private const val PERMITTED_KEEP_ALIVE_SECONDS = 5L
private const val MAX_REQUEST_BYTES = 32 * 1_048_576

internal class Standin(
    private val options: StandinOptions,
    private val tracing: Tracing,
    registry: PrometheusRegistry,
) : AutoCloseable {
    private val clock = System::currentTimeMillis
    private val random = RandomSource.XO_SHI_RO_256_PP.create(options.seed)
    private val faults = Faults(RandomSource.XO_SHI_RO_256_PP.create(options.seed + 1))
    private val executions = ExecutionLog()
    private val targetMetrics = TargetMetrics(registry, clock)
    private val group = MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory())
    private val callThreads = Executors.newCachedThreadPool()
    private val plannedExecutors = planInstances(options.executors, "executors", options.region, options.dataCentres)
    private val plannedWorkers = planInstances(options.workers, "workers", options.region, options.dataCentres)
    private val targets = plannedExecutors.mapIndexed { index, planned ->
        planned.id to target(planned.id, index)
    }.toMap()
    private val table = FakeTableStore { isCommit -> faults.nextStoreCall(isCommit) }
    private val objects = FakeObjectStore(faults::nextStoreCall, faults::delayStoreCall)
    private lateinit var instances: FakeInstanceList
    private lateinit var workers: SimulatedWorkers
    private lateinit var server: Server

    init {
        countCalls(registry)
    }

    /** The port of the platform's services. */
    val port: Int get() = server.port

    /** Starts all targets, then the services. */
    fun start() {
        targets.values.forEach { it.start() }
        instances = FakeInstanceList(
            listedInstances(),
            options.listLagMillis,
            options.rebootMillis,
            onReboot = ::rebooted,
            nowMillis = clock,
        )
        workers = SimulatedWorkers(
            plannedWorkers.map { it.id },
            options.usageLagMillis,
            executions,
            faults::of,
            instances::isRebooting,
            clock,
        )
        server = buildServer().start()
    }

    override fun close() {
        if (::server.isInitialized) server.shutdownNow().awaitTermination(1, TimeUnit.SECONDS)
        targets.values.forEach { it.close() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        callThreads.shutdownNow()
    }

    private fun listedInstances() = plannedExecutors.map { planned ->
        options.listedExecutor(planned, Address(options.address.host, targets.getValue(planned.id).port))
    } + plannedWorkers.map(options::listedWorker)

    private fun buildServer(): Server = NettyServerBuilder
        .forAddress(InetSocketAddress(options.address.host, options.address.port))
        .executor(callThreads)
        .permitKeepAliveTime(PERMITTED_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
        .maxInboundMessageSize(MAX_REQUEST_BYTES)
        .addService(PlatformServices.table(SlowTableStore(table, faults::delayStoreCall)))
        .addService(PlatformServices.objects(objects))
        .addService(PlatformServices.instances(instances))
        .addService(PlatformServices.tasks(workers))
        .addService(FaultsService(faults, ::setInstanceFault, executions::toReply))
        .build()

    private fun rebooted(instance: InstanceId) {
        targets[instance]?.reboot(options.rebootMillis)
        workers.reboot(instance)
    }

    private fun setInstanceFault(instance: InstanceId, fault: InstanceFault): Boolean {
        val target = targets[instance]
        if (target == null && !workers.isWorker(instance)) return false
        faults.set(instance, fault)
        target?.refuse(fault == InstanceFault.REFUSE)
        if (fault == InstanceFault.SILENT) target?.silenceOpenConnections()
        if (fault == InstanceFault.LEAVING || fault == InstanceFault.NONE) {
            instances.setLeaving(instance, fault == InstanceFault.LEAVING)
            targetMetrics.setLeaving(instance, fault == InstanceFault.LEAVING)
        }
        return true
    }

    private fun target(id: InstanceId, index: Int): Target {
        val ports = TargetPorts(
            fault = { faults.of(id) },
            drawWorkMillis = ::drawWorkMillis,
            startSpan = { startSpan(id, it) },
            count = { accepted -> targetMetrics.request(id, accepted) },
        )
        return newTarget(id, index, ports)
    }

    private fun newTarget(id: InstanceId, index: Int, ports: TargetPorts) = Target(
        id,
        options.address.host,
        if (options.firstPort == 0) 0 else options.firstPort + index,
        TargetLimits(options.slots, options.connections),
        group,
        executions,
    ) { target -> TargetHandler(target, ports) }

    // Service times are drawn from the exponential distribution, by inversion.
    private fun drawWorkMillis(): Long {
        val uniform = synchronized(random) { random.nextDouble() }
        return (-ln(1 - uniform) * options.meanWorkMillis).toLong()
    }

    private fun startSpan(instance: InstanceId, headers: HttpHeaders): Span {
        val propagator = tracing.openTelemetry.propagators.textMapPropagator
        val parent = propagator.extract(Context.root(), headers, HeaderGetter)
        return tracing.tracer
            .spanBuilder("execute")
            .setSpanKind(SpanKind.SERVER)
            .setParent(parent)
            .setAttribute("instance", instance.value)
            .startSpan()
    }

    private fun countCalls(registry: PrometheusRegistry) {
        CounterWithCallback
            .builder()
            .name("gypsumturn_standin_table_rows_total")
            .help("Rows of the table that were read and written")
            .labelNames("operation")
            .callback { callback ->
                val usage = table.usage()
                callback.call(usage.readRows.toDouble(), "read")
                callback.call(usage.writtenRows.toDouble(), "written")
            }.register(registry)
    }
}

private object HeaderGetter : TextMapGetter<HttpHeaders> {
    override fun keys(carrier: HttpHeaders): Iterable<String> = carrier.names()

    override fun get(carrier: HttpHeaders?, key: String): String? = carrier?.get(key)
}

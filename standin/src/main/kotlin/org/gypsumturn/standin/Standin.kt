// Assembles the stand-in: the platform's gRPC services, the simulated executors and workers, and the service that sets
// their faults.

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
import org.gypsumturn.standin.fault.ActiveFaults
import org.gypsumturn.standin.fault.FaultsService
import org.gypsumturn.standin.fault.InstanceFault
import org.gypsumturn.standin.fault.SlowTableStore
import org.gypsumturn.standin.target.Target
import org.gypsumturn.standin.target.TargetCallbacks
import org.gypsumturn.standin.target.TargetHandler
import org.gypsumturn.standin.target.TargetLimits
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
    private val faults = ActiveFaults(RandomSource.XO_SHI_RO_256_PP.create(options.seed + 1))
    private val executions = ExecutionLog()
    private val targetMetrics = TargetMetrics(registry, clock)
    private val eventLoopGroup = MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory())
    private val callExecutor = Executors.newCachedThreadPool()
    private val plannedExecutors = planInstances(options.executors, "executors", options.region, options.dataCentres)
    private val plannedWorkers = planInstances(options.workers, "workers", options.region, options.dataCentres)
    private val targets = plannedExecutors.mapIndexed { index, planned ->
        planned.id to createTarget(planned.id, index)
    }.toMap()
    private val table = FakeTableStore { isCommit -> faults.nextStoreCall(isCommit) }
    private val objects = FakeObjectStore(faults::nextStoreCall, faults::delayStoreCall)
    private lateinit var instances: FakeInstanceList
    private lateinit var workers: SimulatedWorkers
    private lateinit var server: Server

    init {
        registerTableMetrics(registry)
    }

    /** Port of the gRPC services. Known after [start]. */
    val port: Int get() = server.port

    /** Starts the simulated executors, then the gRPC services. Throws IOException if a port cannot be bound. */
    fun start() {
        targets.values.forEach { it.start() }
        instances = FakeInstanceList(
            listedInstances(),
            options.listLagMillis,
            options.rebootMillis,
            onReboot = ::onRebootStarted,
            nowMillis = clock,
        )
        workers = SimulatedWorkers(
            plannedWorkers.map { it.id },
            options.usageLagMillis,
            executions,
            faults::instanceFault,
            instances::isRebooting,
            clock,
        )
        server = buildServer().start()
    }

    override fun close() {
        if (::server.isInitialized) server.shutdownNow().awaitTermination(1, TimeUnit.SECONDS)
        targets.values.forEach { it.close() }
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        callExecutor.shutdownNow()
    }

    private fun listedInstances() = plannedExecutors.map { planned ->
        options.listedExecutor(planned, Address(options.address.host, targets.getValue(planned.id).port))
    } + plannedWorkers.map(options::listedWorker)

    private fun buildServer(): Server = NettyServerBuilder
        .forAddress(InetSocketAddress(options.address.host, options.address.port))
        .executor(callExecutor)
        .permitKeepAliveTime(PERMITTED_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
        .maxInboundMessageSize(MAX_REQUEST_BYTES)
        .addService(PlatformServices.table(SlowTableStore(table, faults::delayStoreCall)))
        .addService(PlatformServices.objects(objects))
        .addService(PlatformServices.instances(instances))
        .addService(PlatformServices.tasks(workers))
        .addService(FaultsService(faults, ::setInstanceFault, executions::toReply))
        .build()

    private fun onRebootStarted(instance: InstanceId) {
        targets[instance]?.reboot(options.rebootMillis)
        workers.reboot(instance)
    }

    private fun setInstanceFault(instance: InstanceId, fault: InstanceFault): Boolean {
        val target = targets[instance]
        if (target == null && !workers.isWorker(instance)) return false
        faults.set(instance, fault)
        target?.setRefusingNewWork(fault == InstanceFault.REFUSE)
        if (fault == InstanceFault.SILENT) target?.silenceOpenConnections()
        if (fault == InstanceFault.LEAVING || fault == InstanceFault.NONE) {
            instances.setLeaving(instance, fault == InstanceFault.LEAVING)
            targetMetrics.setLeaving(instance, fault == InstanceFault.LEAVING)
        }
        return true
    }

    private fun createTarget(id: InstanceId, index: Int): Target {
        val callbacks = TargetCallbacks(
            currentFault = { faults.instanceFault(id) },
            drawWorkMillis = ::drawWorkMillis,
            startSpan = { startSpan(id, it) },
            countRequest = { accepted -> targetMetrics.countRequest(id, accepted) },
        )
        return newTarget(id, index, callbacks)
    }

    private fun newTarget(id: InstanceId, index: Int, callbacks: TargetCallbacks) = Target(
        id,
        options.address.host,
        if (options.firstPort == 0) 0 else options.firstPort + index,
        TargetLimits(options.slots, options.connections),
        eventLoopGroup,
        executions,
    ) { target -> TargetHandler(target, callbacks) }

    // Draws an exponentially distributed service time by inverse transform sampling.
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

    private fun registerTableMetrics(registry: PrometheusRegistry) {
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

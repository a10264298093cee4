// One entry with all its parts: the server for callers, the dispatch thread, the intent ledger, the retention sweep,
// the handling of jobs and the client for targets.

package org.gypsumturn.entry

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.gypsumturn.entry.dispatch.DispatchInput
import org.gypsumturn.entry.dispatch.DispatchLoop
import org.gypsumturn.entry.dispatch.DispatchPorts
import org.gypsumturn.entry.dispatch.RequestIntake
import org.gypsumturn.entry.http.CallerServer
import org.gypsumturn.entry.http.ConnectionLimit
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.http.Route
import org.gypsumturn.entry.job.JobRouteHandler
import org.gypsumturn.entry.job.JobTimeouts
import org.gypsumturn.entry.ledger.LedgerLoop
import org.gypsumturn.entry.ledger.RetentionSweep
import org.gypsumturn.entry.ledger.RetentionSweepLoop
import org.gypsumturn.entry.target.TargetClient
import org.gypsumturn.jobs.JobAcceptance
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.peer.NodeActivity
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.TableStore
import org.gypsumturn.request.SlotReport
import org.gypsumturn.runtime.trace.Tracing
import org.gypsumturn.view.Readiness
import org.gypsumturn.view.ViewSource
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/**
 * The parts of the process, and the clocks, that an entry uses.
 *
 * @property self the name of this entry in the fleet view
 * @property sendSlotReport sends a slot report to the other entries
 * @property seed seed of the random numbers of the dispatcher
 * @property nowMillis monotonic clock
 * @property epochMillis wall clock, in milliseconds since the epoch, for timestamps in the table
 */
internal class EntryDependencies(
    val self: NodeId,
    val view: ViewSource,
    val table: TableStore,
    val instances: InstanceList,
    val tracing: Tracing,
    val metrics: EntryMetrics,
    val sendSlotReport: (SlotReport) -> Unit,
    val seed: Long,
    val nowMillis: () -> Long = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) },
    val epochMillis: () -> Long = System::currentTimeMillis,
)

/** An entry. It serves callers from [start] until [shutDown] or [stop]. */
internal class EntryNode(private val config: EntryConfig, private val dependencies: EntryDependencies) {
    private val eventLoops = MultiThreadIoEventLoopGroup(config.eventLoops, NioIoHandler.newFactory())
    private val metrics = dependencies.metrics
    private val targets =
        TargetClient(eventLoops, config.targetLimits, dependencies.nowMillis) { dependencies.view.readiness().ready }
    private val ledger =
        LedgerLoop(
            dependencies.table,
            config.ledger,
            metrics,
            dependencies.nowMillis,
            config.maxOpenRequests * LEDGER_COMMANDS_PER_REQUEST,
        )
    private val dispatch =
        DispatchLoop(config.dispatch, ::ports, metrics, dependencies.seed, config.maxOpenRequests, config.maxHeldBytes)
    private val intake =
        RequestIntake(
            dependencies.view::currentView,
            dependencies.view::readiness,
            dispatch,
            EntryTracing(dependencies.tracing),
            dependencies.nowMillis,
        )
    private val jobs = JobRouteHandler(
        JobAcceptance(dependencies.table),
        dependencies.view::currentView,
        ::readiness,
        metrics,
        JobTimeouts(config.ledger.storeTimeoutMillis, config.jobWaitMillis),
        dependencies.nowMillis,
        dependencies.epochMillis,
        config.maxOpenRequests,
    )
    private val health = Health(::readiness)
    private val connectionLimit = ConnectionLimit(config.maxConnections) { metrics.connectionsRefused.inc() }
    private val server =
        CallerServer(
            eventLoops,
            config.address,
            config.requestSizeLimits,
            config.callerLimits,
            connectionLimit,
            dependencies.nowMillis,
            ::serve,
        )
    private val sweep = RetentionSweepLoop(
        RetentionSweep(
            dependencies.table,
            config.retention.millis,
            config.retention.pageRows,
            config.ledger.storeTimeoutMillis,
        ),
        metrics,
        ::isSweepingEntry,
        dependencies.epochMillis,
        config.retention.stepMillis,
    )
    private val leavingInstances =
        LeavingInstancePoller(dependencies.instances, config.instanceListMillis, config.ledger.storeTimeoutMillis) {
            dispatch.offerNotice(DispatchInput.TargetLeaving(it))
        }

    @Volatile
    private var shuttingDown = false

    /** Port on which callers are served. Valid after [start]. */
    val port: Int get() = server.port

    /** Number of requests that are unanswered or have an open exchange or table write. */
    val openRequests: Int get() = dispatch.open

    /** Open requests and exchanges, for the heartbeat of this node. */
    val activity: NodeActivity get() = dispatch.activity

    /** Starts all threads and accepts callers. */
    fun start() {
        publishGauges()
        dependencies.view.onView(targets::closeTargetsNotIn)
        dispatch.start()
        ledger.start()
        jobs.start()
        sweep.start()
        leavingInstances.start()
        server.start()
        log.info("entry {} is serving callers at {}:{}", dependencies.self, config.address.host, port)
    }

    /** Passes the slot report of another entry to the dispatcher. */
    fun acceptPeerReport(report: SlotReport) = dispatch.offerNotice(DispatchInput.PeerReported(report))

    /**
     * Shuts the entry down gracefully. It reports not ready, waits until the load balancer has noticed that, stops
     * accepting connections, and ends after all open requests are finished. Blocks until then.
     */
    fun shutDown() {
        shuttingDown = true
        log.info("shutting down: not ready; waiting {} ms for the load balancer to notice", config.balancerLagMillis)
        Thread.sleep(config.balancerLagMillis)
        server.stopAccepting()
        server.drain()
        while (server.open > 0 || dispatch.open > 0 || !ledger.isIdle) Thread.sleep(DRAIN_POLL_MILLIS)
        stop()
        log.info("shutdown complete: all open requests are finished")
    }

    /** Stops the entry immediately. Open requests are cut off, as in a crash of the process. */
    fun stop() {
        listOf(leavingInstances, sweep, jobs, dispatch, ledger).forEach { it.close() }
        targets.close()
        eventLoops.shutdownGracefully(0, EVENT_LOOP_STOP_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly()
    }

    private fun serve(route: Route, traceParent: String?, reply: (HttpAnswer) -> Unit): () -> Unit {
        when (route) {
            is Route.ToService -> return intake.submit(route.request, traceParent, reply)
            is Route.Rejected -> reply(route.answer)
            is Route.SubmitJob -> jobs.submitJob(route.body, reply)
            is Route.GetJob -> jobs.get(route, reply)
            Route.Live -> reply(health.live())
            Route.Ready -> reply(health.ready())
        }
        return {}
    }

    private fun ports(post: (DispatchInput) -> Unit) = DispatchPorts(
        dependencies.self,
        dependencies.view::currentView,
        dependencies.view::readiness,
        targets::send,
        { ledger.offer(it) },
        post,
        dependencies.sendSlotReport,
        metrics,
        config.ledger.maxRecordedBytes,
        dependencies.nowMillis,
        dependencies.epochMillis,
    )

    private fun readiness(): Readiness =
        if (shuttingDown) Readiness(false, "shutting down") else dependencies.view.readiness()

    private fun isSweepingEntry(): Boolean {
        val entries = dependencies.view.currentView().nodes.values.filter { it.role == NodeRole.ENTRY }
        return dependencies.view.readiness().ready && entries.minOfOrNull { it.id } == dependencies.self
    }

    private fun publishGauges() {
        metrics.publishGauge("gypsumturn_entry_ready", "1 while new work is taken") {
            if (readiness().ready) 1.0 else 0.0
        }
        metrics.publishGauge("gypsumturn_entry_open_requests", "Requests at this entry") { dispatch.open.toDouble() }
        metrics.publishGauge("gypsumturn_entry_ring_pending", "Inputs that wait for dispatch") {
            dispatch.pendingInputs.toDouble()
        }
        metrics.publishGauge("gypsumturn_entry_connections", "Open connections of callers") { server.open.toDouble() }
    }

    private companion object {
        const val LEDGER_COMMANDS_PER_REQUEST = 2
        const val DRAIN_POLL_MILLIS = 10L
        const val EVENT_LOOP_STOP_MILLIS = 2_000L
        val log = LoggerFactory.getLogger(EntryNode::class.java)
    }
}

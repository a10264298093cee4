// One entry with all its threads: callers' server, dispatch, ledger, sweep and the client towards targets.

package org.gypsumturn.entry

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.gypsumturn.entry.dispatch.DispatchDuty
import org.gypsumturn.entry.dispatch.DispatchInput
import org.gypsumturn.entry.dispatch.DispatchPorts
import org.gypsumturn.entry.dispatch.Intake
import org.gypsumturn.entry.http.CallerServer
import org.gypsumturn.entry.http.ConnectionLimit
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.http.Route
import org.gypsumturn.entry.job.JobDesk
import org.gypsumturn.entry.job.JobTimes
import org.gypsumturn.entry.ledger.LedgerDuty
import org.gypsumturn.entry.ledger.RetentionSweep
import org.gypsumturn.entry.ledger.SweepDuty
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
 * What an entry stands on.
 *
 * @property tellPeers passes a slot report to the other entries
 * @property nowMillis monotonic clock
 * @property epochMillis wall clock, for what is recorded in the table
 */
internal class EntrySurroundings(
    val self: NodeId,
    val view: ViewSource,
    val table: TableStore,
    val instances: InstanceList,
    val tracing: Tracing,
    val metrics: EntryMetrics,
    val tellPeers: (SlotReport) -> Unit,
    val seed: Long,
    val nowMillis: () -> Long = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) },
    val epochMillis: () -> Long = System::currentTimeMillis,
)

/** An entry. */
internal class EntryNode(private val config: EntryConfig, private val around: EntrySurroundings) {
    private val loops = MultiThreadIoEventLoopGroup(config.eventLoops, NioIoHandler.newFactory())
    private val metrics = around.metrics
    private val targets = TargetClient(loops, config.targetLimits, around.nowMillis) { around.view.readiness().ready }
    private val ledger =
        LedgerDuty(around.table, config.ledger, metrics, around.nowMillis, config.maxOpen * ORDERS_PER_REQUEST)
    private val dispatch =
        DispatchDuty(config.dispatch, ::ports, metrics, around.seed, config.maxOpen, config.maxHeldBytes)
    private val intake =
        Intake(
            around.view::currentView,
            around.view::readiness,
            dispatch,
            EntryTracing(around.tracing),
            around.nowMillis,
        )
    private val jobs = JobDesk(
        JobAcceptance(around.table),
        around.view::currentView,
        ::readiness,
        metrics,
        JobTimes(config.ledger.storeTimeoutMillis, config.jobWaitMillis),
        around.nowMillis,
        around.epochMillis,
        config.maxOpen,
    )
    private val health = Health(::readiness)
    private val admission = ConnectionLimit(config.maxConnections) { metrics.connectionsRefused.inc() }
    private val server =
        CallerServer(loops, config.address, config.sizes, config.callerLimits, admission, around.nowMillis, ::serve)
    private val sweep = SweepDuty(
        RetentionSweep(
            around.table,
            config.retention.millis,
            config.retention.pageRows,
            config.ledger.storeTimeoutMillis,
        ),
        metrics,
        ::sweeps,
        around.epochMillis,
        config.retention.stepMillis,
    )
    private val leaving =
        LeavingWatch(around.instances, config.instanceListMillis, config.ledger.storeTimeoutMillis) {
            dispatch.notice(DispatchInput.TargetLeaving(it))
        }

    @Volatile
    private var leavingBalancer = false

    /** Port at which callers are served. */
    val port: Int get() = server.port

    /** Requests of which something is open. */
    val openRequests: Int get() = dispatch.open

    /** What is under way, for this node's beat. */
    val activity: NodeActivity get() = dispatch.activity

    /** Starts serving. */
    fun start() {
        publishGauges()
        around.view.onView(targets::retain)
        dispatch.start()
        ledger.start()
        jobs.start()
        sweep.start()
        leaving.start()
        server.start()
        log.info("entry {} serves callers at {}:{}", around.self, config.address.host, port)
    }

    /** Takes a peer's slot report. */
    fun peerReported(report: SlotReport) = dispatch.notice(DispatchInput.PeerReported(report))

    /**
     * Ends the entry without cutting anything off: not ready first, then, when the balancer has seen it, no new
     * connections, then the end of everything in flight. Blocks until all is done.
     */
    fun shutDown() {
        leavingBalancer = true
        log.info("not ready; waiting {} ms for the balancer", config.balancerLagMillis)
        Thread.sleep(config.balancerLagMillis)
        server.stopAccepting()
        server.drain()
        while (server.open > 0 || dispatch.open > 0 || !ledger.settled) Thread.sleep(POLL_MILLIS)
        stop()
        log.info("everything in flight is finished")
    }

    /** Ends the entry at once. What is in flight is cut off, as when the process dies. */
    fun stop() {
        listOf(leaving, sweep, jobs, dispatch, ledger).forEach { it.close() }
        targets.close()
        loops.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly()
    }

    private fun serve(route: Route, traceParent: String?, reply: (HttpAnswer) -> Unit): () -> Unit {
        when (route) {
            is Route.ToService -> return intake.submit(route.request, traceParent, reply)
            is Route.Rejected -> reply(route.answer)
            is Route.SubmitJob -> jobs.submit(route.body, reply)
            is Route.GetJob -> jobs.get(route, reply)
            Route.Live -> reply(health.live())
            Route.Ready -> reply(health.ready())
        }
        return {}
    }

    private fun ports(post: (DispatchInput) -> Unit) = DispatchPorts(
        around.self,
        around.view::currentView,
        around.view::readiness,
        targets::send,
        { ledger.offer(it) },
        post,
        around.tellPeers,
        metrics,
        config.ledger.maxRecordedBytes,
        around.nowMillis,
        around.epochMillis,
    )

    private fun readiness(): Readiness =
        if (leavingBalancer) Readiness(false, "shutting down") else around.view.readiness()

    private fun sweeps(): Boolean {
        val entries = around.view.currentView().nodes.values.filter { it.role == NodeRole.ENTRY }
        return around.view.readiness().ready && entries.minOfOrNull { it.id } == around.self
    }

    private fun publishGauges() {
        metrics.gauge("gypsumturn_entry_ready", "1 while new work is taken") { if (readiness().ready) 1.0 else 0.0 }
        metrics.gauge("gypsumturn_entry_open_requests", "Requests at this entry") { dispatch.open.toDouble() }
        metrics.gauge("gypsumturn_entry_ring_pending", "Inputs that wait for dispatch") { dispatch.pending.toDouble() }
        metrics.gauge("gypsumturn_entry_connections", "Open connections of callers") { server.open.toDouble() }
    }

    private companion object {
        const val ORDERS_PER_REQUEST = 2
        const val POLL_MILLIS = 10L
        const val STOP_MILLIS = 2_000L
        val log = LoggerFactory.getLogger(EntryNode::class.java)
    }
}

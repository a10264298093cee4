// Creates and connects the parts of a node, starts them, and shuts the node down gracefully.

package org.gypsumturn.node

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.gypsumturn.batch.lease.ControlLease
import org.gypsumturn.batch.lease.LeaseTimes
import org.gypsumturn.batch.machines.MachineTimes
import org.gypsumturn.batch.model.JobLimits
import org.gypsumturn.batch.schedule.OverloadOrder
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.NodeId
import org.gypsumturn.platform.CallerIngress
import org.gypsumturn.platform.PlatformAdvisor
import org.gypsumturn.platform.PlatformExecutorCalls
import org.gypsumturn.platform.PlatformFleetUpdateFeed
import org.gypsumturn.platform.PlatformMachineControl
import org.gypsumturn.platform.PlatformRowStore
import org.gypsumturn.runtime.duty.EventLoopThread
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.transport.Endpoint
import org.gypsumturn.transport.HttpClient
import org.gypsumturn.transport.HttpClientLimits
import org.gypsumturn.transport.HttpServer
import org.gypsumturn.transport.ServedAnswer
import org.gypsumturn.transport.ServedRequest
import org.slf4j.LoggerFactory
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * A node with valid settings. It uses the addresses and ports that are in force when it is created. Other limits that
 * are reloaded later apply from the next term of the control lease, and the grace period applies at once.
 */
public class NodeProgram(private val reloadableSettings: ReloadableSettings) {
    private val settings = reloadableSettings.current
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop: EventLoop = group.next()
    private val storeClient = HttpClient(loop, STORE_LIMITS)
    private val executorClient = HttpClient(loop, EXECUTOR_LIMITS)
    private val peerClient = HttpClient(loop, PEER_LIMITS)
    private val nodeName = settings[NodeSettings.nodeName]
    private val peerEndpoint = Endpoint(settings[NodeSettings.host], settings[NodeSettings.peerPort].toInt())
    private val store: RelayedRowStore =
        RelayedRowStore(
            PlatformRowStore(storeClient, settings[NodeSettings.storeAddress].toEndpoint()),
            peerClient,
            { directory.peers },
            NodeClock::steadyMillis,
            { action -> loop.execute(action) },
        )
    private val postDelayedOnLoop: DelayedPost = { delayMillis, action ->
        loop.schedule(action, delayMillis, TimeUnit.MILLISECONDS)
    }
    private val directory: NodeDirectory = NodeDirectory(nodeName, peerEndpoint, store, postDelayedOnLoop)
    private val fleetUpdates = PlatformFleetUpdateFeed(store)
    private val metrics = NodeMetrics()
    private val decisionLog = metrics.countEvents(eventLog)
    private val lease =
        ControlLease(nodeName, "$nodeName/${NodeClock.wallMillis()}", peerEndpoint.toString(), LEASE_TIMES)
    private val controlThread: EventLoopThread<() -> Unit> =
        EventLoopThread("control", CONTROL_QUEUE_CAPACITY, CONTROL_IDLE_MILLIS, { it() }) { leaseElector.runDueWork() }
    private val post: Post = { action ->
        if (!controlThread.offer(action)) log.error("event queue of the control thread is full; an event was dropped")
    }
    private val leaseElector: ControlLeaseElector =
        ControlLeaseElector(
            lease,
            store,
            claimDelayMillis(),
            post,
            reachesStoreOnlyThroughPeers = store::isReachedOnlyThroughPeers,
        ) { held ->
            HolderSession(
                held,
                schedulerSettings(),
                machineTimes(),
                sessionPorts(),
                decisionLog,
                metrics::recordWorkspaces,
                post,
                postDelayedOnControlThread,
            )
        }
    private val postDelayedOnControlThread: DelayedPost = { delayMillis, action ->
        loop.schedule({ post(action) }, delayMillis, TimeUnit.MILLISECONDS)
    }
    private val configurationSubscriber =
        ConfigurationSubscriber(
            fleetUpdates,
            postDelayedOnLoop,
            { changed -> post { leaseElector.configure(changed) } },
            { wave -> post { leaseElector.addWave(wave) } },
        )
    private val peers = PeerCalls(peerClient, leaseElector, { leaseElector.holder }) { action -> loop.execute(action) }
    private val jobRequestHandler =
        NodeJobRequestHandler(
            { configurationSubscriber.current },
            store,
            peers,
            JobCommitter(store, store::isUnreachable, postDelayedOnLoop, NodeClock::steadyMillis),
            JobRows.partitionOf(nodeName),
            JobLimits(settings[NodeSettings.maxRowBytes].toInt()),
            metrics,
            peers::notifyHolder,
        )
    private val ingress =
        CallerIngress(jobRequestHandler) { !isShuttingDown && configurationSubscriber.current != null }
    private val callerServer =
        HttpServer(loop, settings[NodeSettings.callerAddress].toEndpoint(), MAX_BODY_BYTES, ingress::handle).also {
            it.onUnanswered = metrics::recordUnanswered
        }
    private val readinessServer =
        HttpServer(loop, settings[NodeSettings.readyAddress].toEndpoint(), MAX_BODY_BYTES, ingress::handleReady)
    private val metricsServer =
        HttpServer(
            loop,
            Endpoint(settings[NodeSettings.host], settings[NodeSettings.metricsPort].toInt()),
            MAX_BODY_BYTES,
            metrics::handle,
        )
    private val peerServer = HttpServer(loop, peerEndpoint, MAX_BODY_BYTES, ::handlePeer)

    @Volatile
    private var isShuttingDown = false

    /** Starts serving and competing for the control lease. */
    public fun start() {
        logEvent("start", "node" to nodeName, "data_centre" to settings[NodeSettings.dataCentre])
        controlThread.start()
        loop.scheduleWithFixedDelay({
            reloadableSettings.reloadIfNeeded(requested = false)
        }, RELOAD_CHECK_INTERVAL_MILLIS, RELOAD_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        loop.execute {
            configurationSubscriber.start()
            directory.start()
        }
        listOf(callerServer, readinessServer, peerServer, metricsServer).forEach { it.start() }
    }

    /**
     * Shuts the node down. The readiness check fails from now on, the lease is given up, and open requests are
     * answered. Requests are served until the balancer has taken the node out. Those that are open near the end of the
     * grace period get an answer that leaves their outcome open. Returns before the grace period is over.
     */
    public fun shutDown() {
        if (isShuttingDown) return
        isShuttingDown = true
        val startMillis = NodeClock.steadyMillis()
        val graceMillis = (reloadableSettings.current[NodeSettings.graceSeconds] * MILLIS_PER_SECOND).toLong()
        val answeringEndMillis = startMillis + graceMillis * ANSWERING_TENTHS / TENTHS
        logEvent("stop", "node" to nodeName, "under_way" to callerServer.requestsInFlight)
        callerServer.drain()
        val leaseReleased = CountDownLatch(1)
        post { leaseElector.release(leaseReleased::countDown) }
        sleepUntil(minOf(startMillis + BALANCER_LAG_MILLIS, answeringEndMillis)) { false }
        callerServer.close()
        sleepUntil(answeringEndMillis) { callerServer.isFinished }
        callerServer.answerOpenRequests(ingress.unknownOutcome)
        sleepUntil(startMillis + graceMillis * WRITING_TENTHS / TENTHS) { callerServer.isFinished }
        leaseReleased.await(startMillis + graceMillis / 2 - NodeClock.steadyMillis(), TimeUnit.MILLISECONDS)
        val abandoned = callerServer.abandonOpenRequests(ABANDON_TIMEOUT_MILLIS)
        logEvent(
            "stopped",
            "node" to nodeName,
            "under_way" to callerServer.requestsInFlight,
            "cut" to abandoned?.size,
            "longest_open_ms" to abandoned?.maxOfOrNull { it.openMillis },
            "took_ms" to NodeClock.steadyMillis() - startMillis,
        )
    }

    /** Returns at [endMillis] on the monotonic clock, or earlier if [isDone]. */
    private fun sleepUntil(endMillis: Long, isDone: () -> Boolean) {
        while (!isDone()) {
            val leftMillis = endMillis - NodeClock.steadyMillis()
            if (leftMillis <= 0) return
            Thread.sleep(minOf(leftMillis, DRAIN_CHECK_INTERVAL_MILLIS))
        }
    }

    private fun handlePeer(request: ServedRequest, reply: (ServedAnswer) -> Unit) {
        if (request.path == RelayedRowStore.PATH) store.handle(request, reply) else peers.handle(request, reply)
    }

    private fun sessionPorts(): SessionPorts {
        val machines = Endpoint.parse(settings[NodeSettings.machinesAddress])?.let {
            PlatformMachineControl(peerClient, it, NodeId(nodeName))
        }
        val advisor = Endpoint.parse(settings[NodeSettings.advisorAddress])?.let { PlatformAdvisor(peerClient, it) }
        return SessionPorts(
            store,
            fleetUpdates,
            PlatformExecutorCalls(executorClient),
            machines,
            advisor,
            store,
            metrics::recordJobsAsOf,
        )
    }

    private fun machineTimes() = MachineTimes(
        (reloadableSettings.current[NodeSettings.moveSeconds] * MILLIS_PER_SECOND).toLong(),
        (reloadableSettings.current[NodeSettings.upkeepSeconds] * MILLIS_PER_SECOND).toLong(),
        reloadableSettings.current[NodeSettings.orderLeaseMillis] + HANDOVER_SLACK_MILLIS,
        reloadableSettings.current[NodeSettings.noticeMillis],
    )

    private fun schedulerSettings() = SchedulerSettings(
        minOf(RUN_LEASE_MILLIS, reloadableSettings.current[NodeSettings.maxLeaseMillis]),
        reloadableSettings.current[NodeSettings.maxLeaseMillis],
        reloadableSettings.current[NodeSettings.statusSeconds],
        stopMillis = reloadableSettings.current[NodeSettings.stopMillis],
        overloadOrder = OverloadOrder.valueOf(reloadableSettings.current[NodeSettings.overloadOrder].uppercase()),
        maxProgressBytes = settings[NodeSettings.maxRowBytes].toInt(),
        cancelMillis = reloadableSettings.current[NodeSettings.cancelMillis],
    )

    /**
     * How long this node waits before it claims a claimable lease. Nodes with little processor capacity wait longer, so
     * that others claim it first. The name's hash spreads nodes with equal capacity.
     */
    private fun claimDelayMillis(): Long {
        val weakness = (1.0 - settings[NodeSettings.coreShare]).coerceIn(0.0, 1.0)
        return (weakness * MAX_WEAKNESS_DELAY_MILLIS).toLong() + Math.floorMod(nodeName.hashCode(), CLAIM_SPREAD_MILLIS)
    }

    private fun HostAndPort.toEndpoint() = Endpoint(host, port)

    private companion object {
        val log = LoggerFactory.getLogger(NodeProgram::class.java)

        /** Limits of calls to the store, of which few are open at once and some have large answers. */
        val STORE_LIMITS = HttpClientLimits(8, 500, 10_000, 4_000_000)

        /** Limits of calls to executors. They use two lanes, each with enough connections for a burst of starts. */
        val EXECUTOR_LIMITS = HttpClientLimits(4, 300, 10_000, 4_000_000)

        /** Limits of calls to other nodes, to the machine API and to the advisor. */
        val PEER_LIMITS = HttpClientLimits(4, 300, 10_000, 100_000)

        /**
         * With these times a holder keeps the lease while transactions of the store take up to 1.1 s. Another process
         * claims it after 2.4 s, which leaves it time to renew the leases of runs before they lapse.
         */
        val LEASE_TIMES = LeaseTimes(lapseMillis = 2_400, renewMillis = 600, marginMillis = 150)

        /**
         * Lease of a run. It is longer than a takeover of the control lease, and short enough that tasks of a dead
         * executor are soon started on another one.
         */
        const val RUN_LEASE_MILLIS = 5_000L

        /** Time that the last order of an earlier lease holder may take to reach the platform. */
        const val HANDOVER_SLACK_MILLIS = 500L

        /** Time between two checks whether the settings file has changed. */
        const val RELOAD_CHECK_INTERVAL_MILLIS = 2_000L

        /** Number of events that the queue of the control thread holds. */
        const val CONTROL_QUEUE_CAPACITY = 65_536
        const val CONTROL_IDLE_MILLIS = 20L
        const val MAX_BODY_BYTES = 1_048_576
        const val MILLIS_PER_SECOND = 1_000

        /** Claim delay of a node without any processor capacity. */
        const val MAX_WEAKNESS_DELAY_MILLIS = 400

        /** Range of the claim delays of nodes with equal capacity. */
        const val CLAIM_SPREAD_MILLIS = 150

        /** Time between two checks whether all requests have been answered. */
        const val DRAIN_CHECK_INTERVAL_MILLIS = 50L

        /** Longest wait for the list of the requests that are cut as the process ends. */
        const val ABANDON_TIMEOUT_MILLIS = 100L

        /** The balancer checks readiness once a second, and takes a node out after two failed checks. */
        const val BALANCER_LAG_MILLIS = 2_500L

        /** Part of the grace period in which requests are handled, in tenths. */
        const val ANSWERING_TENTHS = 8

        /** Part of the grace period after which the process ends though answers have not been written, in tenths. */
        const val WRITING_TENTHS = 9
        const val TENTHS = 10
    }
}

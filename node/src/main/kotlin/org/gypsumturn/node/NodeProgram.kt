// Wiring of a node: ports, threads, start and graceful end.

package org.gypsumturn.node

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.gypsumturn.batch.lease.ControlLease
import org.gypsumturn.batch.lease.LeaseTimes
import org.gypsumturn.batch.machines.MachineTimes
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.NodeId
import org.gypsumturn.platform.CallerIngress
import org.gypsumturn.platform.PlatformAdvisor
import org.gypsumturn.platform.PlatformExecutorCalls
import org.gypsumturn.platform.PlatformMachineControl
import org.gypsumturn.platform.PlatformFleetUpdateFeed
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
 * A node with checked settings. Addresses and ports are those of its start; limits that change later hold from the
 * next term of the control lease on, and the grace at once.
 */
public class NodeProgram(private val keeper: SettingsKeeper) {
    private val settings = keeper.current
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
    private val laterOnLoop: Later = { delayMillis, action ->
        loop.schedule(action, delayMillis, TimeUnit.MILLISECONDS)
    }
    private val directory: NodeDirectory = NodeDirectory(nodeName, peerEndpoint, store, laterOnLoop)
    private val news = PlatformFleetUpdateFeed(store)
    private val metrics = NodeMetrics()
    private val decisions = metrics.counting(eventLog)
    private val lease =
        ControlLease(nodeName, "$nodeName/${NodeClock.wallMillis()}", peerEndpoint.toString(), LEASE_TIMES)
    private val control: EventLoopThread<() -> Unit> =
        EventLoopThread("control", CONTROL_RING, CONTROL_IDLE_MILLIS, { it() }) { leaseDuty.work() }
    private val post: Post = { action ->
        if (!control.offer(action)) log.error("the control duty's ring is full; an event was dropped")
    }
    private val leaseDuty: LeaseDuty =
        LeaseDuty(lease, store, claimDelayMillis(), post) { held ->
            HolderSession(held, schedulerSettings(), machineTimes(), ports(), decisions, post, laterOnControl)
        }
    private val laterOnControl: Later = { delayMillis, action ->
        loop.schedule({ post(action) }, delayMillis, TimeUnit.MILLISECONDS)
    }
    private val configuration =
        ConfigurationKeeper(
            news,
            laterOnLoop,
            { configuration -> post { leaseDuty.configured(configuration) } },
            { wave -> post { leaseDuty.waveRequested(wave) } },
        )
    private val peers = PeerCalls(peerClient, leaseDuty) { leaseDuty.holder }
    private val desk =
        JobDesk(
            { configuration.current },
            store,
            peers,
            JobCommitter(store, store::isAway, laterOnLoop, NodeClock::steadyMillis),
            JobRows.partitionOf(nodeName),
            metrics,
        )
    private val ingress = CallerIngress(desk) { !ending && configuration.current != null }
    private val callers =
        HttpServer(loop, settings[NodeSettings.callerAddress].toEndpoint(), MAX_BODY_BYTES, ingress::handle)
    private val readiness =
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
    private var ending = false

    /** Starts everything. */
    public fun start() {
        logEvent("start", "node" to nodeName, "data_centre" to settings[NodeSettings.dataCentre])
        control.start()
        loop.scheduleWithFixedDelay({
            keeper.check(asked = false)
        }, RELOAD_MILLIS, RELOAD_MILLIS, TimeUnit.MILLISECONDS)
        loop.execute {
            configuration.start()
            directory.start()
        }
        listOf(callers, readiness, peerServer, metricsServer).forEach { it.start() }
    }

    /** Stops taking new work, gives the lease up, answers what was asked, and returns before the grace is over. */
    public fun end() {
        if (ending) return
        ending = true
        logEvent("stop", "node" to nodeName, "under_way" to callers.requestsInFlight)
        callers.drain()
        val released = CountDownLatch(1)
        post { leaseDuty.release(released::countDown) }
        val graceMillis = (keeper.current[NodeSettings.graceSeconds] * MILLIS_PER_SECOND).toLong()
        val endMillis = NodeClock.steadyMillis() + graceMillis * ANSWERING_PART / WHOLE
        released.await(graceMillis / 2, TimeUnit.MILLISECONDS)
        val quietMillis = NodeClock.steadyMillis() + ROTATION_MILLIS
        while (NodeClock.steadyMillis() < endMillis) {
            if (callers.requestsInFlight == 0 && NodeClock.steadyMillis() >= quietMillis) break
            Thread.sleep(POLL_MILLIS)
        }
        logEvent("stopped", "node" to nodeName, "under_way" to callers.requestsInFlight)
        callers.close()
    }

    private fun handlePeer(request: ServedRequest, reply: (ServedAnswer) -> Unit) {
        if (request.path == RelayedRowStore.PATH) store.handle(request, reply) else peers.handle(request, reply)
    }

    private fun ports(): SessionPorts {
        val machines = Endpoint.parse(settings[NodeSettings.machinesAddress])?.let {
            PlatformMachineControl(peerClient, it, NodeId(nodeName))
        }
        val advisor = Endpoint.parse(settings[NodeSettings.advisorAddress])?.let { PlatformAdvisor(peerClient, it) }
        return SessionPorts(store, news, PlatformExecutorCalls(executorClient), machines, advisor)
    }

    private fun machineTimes() = MachineTimes(
        (keeper.current[NodeSettings.moveSeconds] * MILLIS_PER_SECOND).toLong(),
        (keeper.current[NodeSettings.upkeepSeconds] * MILLIS_PER_SECOND).toLong(),
        keeper.current[NodeSettings.orderLeaseMillis] + HANDOVER_SLACK_MILLIS,
    )

    private fun schedulerSettings() = SchedulerSettings(
        minOf(RUN_LEASE_MILLIS, keeper.current[NodeSettings.maxLeaseMillis]),
        keeper.current[NodeSettings.statusSeconds],
    )

    /** Weak machines leave the lease to stronger ones for a moment; the name spreads equals. */
    private fun claimDelayMillis(): Long {
        val weakness = (1.0 - settings[NodeSettings.coreShare]).coerceIn(0.0, 1.0)
        return (weakness * WEAK_DELAY_MILLIS).toLong() + Math.floorMod(nodeName.hashCode(), SPREAD_MILLIS)
    }

    private fun HostAndPort.toEndpoint() = Endpoint(host, port)

    private companion object {
        val log = LoggerFactory.getLogger(NodeProgram::class.java)

        /** Calls to the store: few at once, large answers. */
        val STORE_LIMITS = HttpClientLimits(8, 500, 10_000, 4_000_000)

        /** Calls to executors: two lanes, each with connections for a burst of starts. */
        val EXECUTOR_LIMITS = HttpClientLimits(4, 300, 10_000, 4_000_000)

        /** Calls to other nodes. */
        val PEER_LIMITS = HttpClientLimits(4, 300, 10_000, 100_000)

        /**
         * A holder keeps the lease in a store whose transactions take 1.1 s, which is above the slowest seen; a
         * claim after 2.4 s leaves time within the leases of what runs.
         */
        val LEASE_TIMES = LeaseTimes(lapseMillis = 2_400, renewMillis = 600, marginMillis = 150)

        /** Lease of what runs: outlives a takeover, and lets work on a dead executor go elsewhere soon. */
        const val RUN_LEASE_MILLIS = 5_000L

        /** Beyond the distance between two holders' orders: an earlier order may be under way for a while. */
        const val HANDOVER_SLACK_MILLIS = 500L

        /** Time between two looks whether the settings file has changed. */
        const val RELOAD_MILLIS = 2_000L

        const val CONTROL_RING = 65_536
        const val CONTROL_IDLE_MILLIS = 20L
        const val MAX_BODY_BYTES = 1_048_576
        const val MILLIS_PER_SECOND = 1_000
        const val WEAK_DELAY_MILLIS = 400
        const val SPREAD_MILLIS = 150
        const val POLL_MILLIS = 50L

        /** The balancer takes a node out after two misses of a check each second. */
        const val ROTATION_MILLIS = 2_500L

        /** Part of the grace, in [WHOLE]ths, in which callers are answered. */
        const val ANSWERING_PART = 8
        const val WHOLE = 10
    }
}

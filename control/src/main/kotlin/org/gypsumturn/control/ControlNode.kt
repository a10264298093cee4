// Assembles one control process: its view replica, the fleet reconciler, the job owner and the administration API.

package org.gypsumturn.control

import io.grpc.ServerInterceptors
import org.gypsumturn.control.admin.AccessInterceptor
import org.gypsumturn.control.admin.AccessTokens
import org.gypsumturn.control.admin.AdminContext
import org.gypsumturn.control.admin.AdminServer
import org.gypsumturn.control.admin.AdminService
import org.gypsumturn.control.admin.EventStreams
import org.gypsumturn.control.admin.JobCalls
import org.gypsumturn.control.fleet.CapacityPlanner
import org.gypsumturn.control.fleet.CurrentTime
import org.gypsumturn.control.fleet.FleetCommandRunner
import org.gypsumturn.control.fleet.FleetReconciler
import org.gypsumturn.control.fleet.FleetReconcilerSettings
import org.gypsumturn.control.fleet.HeartbeatReader
import org.gypsumturn.control.fleet.Rebooter
import org.gypsumturn.control.job.JobOwnerLoop
import org.gypsumturn.fleet.capacity.CapacitySettings
import org.gypsumturn.fleet.capacity.CapacityWeights
import org.gypsumturn.jobs.JobAcceptance
import org.gypsumturn.jobs.JobOwner
import org.gypsumturn.jobs.JobOwnerSettings
import org.gypsumturn.jobs.ParallelWorkerCalls
import org.gypsumturn.model.NodeRole
import org.gypsumturn.peer.ChangeRunner
import org.gypsumturn.peer.GrpcServer
import org.gypsumturn.peer.NodeActivity
import org.gypsumturn.peer.NodeMembership
import org.gypsumturn.peer.PeerClients
import org.gypsumturn.peer.PeerService
import org.gypsumturn.peer.ViewReplica
import org.gypsumturn.peer.ViewSettings
import org.gypsumturn.peer.toAddress
import org.gypsumturn.ports.grpc.PlatformClient
import org.gypsumturn.runtime.duty.EventLoopThread
import org.gypsumturn.runtime.metrics.Metrics
import org.gypsumturn.runtime.settings.CommonSettings
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.view.NodeHeartbeatStore
import org.gypsumturn.view.ViewLog
import org.slf4j.LoggerFactory

/** A control process, from [start] to [close]. */
internal class ControlNode(private val settings: Settings) : AutoCloseable {
    private val timing = ViewSettings.timing(settings)
    private val node = ViewSettings.createNode(settings, NodeRole.CONTROL)
    private val platform = PlatformClient(settings[ViewSettings.platformAddress].toAddress())
    private val log = ViewLog(platform.table, timing.platformTimeoutMillis)
    private val heartbeatStore = NodeHeartbeatStore(platform.table, timing.platformTimeoutMillis)
    private val peers = PeerClients(timing.peerTimeoutMillis)
    private val replica =
        ViewReplica(node, log, peers, settings[ViewSettings.seeds].map { it.toAddress() }, timing, ::monotonicMillis)
    private val workerCalls = ParallelWorkerCalls(WORKER_CALL_THREADS)
    private val runner = ChangeRunner(replica, log, ::monotonicMillis)
    private val commandRunner = FleetCommandRunner(runner)
    private val ownerLapseMillis = settings[ControlSettings.ownerLapseMillis]
    private val ownerHeartbeatIntervalMillis = ownerLapseMillis / HEARTBEATS_PER_LAPSE
    private val heartbeatReader = HeartbeatReader(heartbeatStore, maxGapMillis = ownerLapseMillis / 2)
    private val heartbeatLoop =
        EventLoopThread<Unit>("beats", 1, ownerHeartbeatIntervalMillis, {
        }, { heartbeatReader.readHeartbeats(monotonicMillis()) })
    private val reconciler = createReconciler()
    private val reconcilerLoop =
        EventLoopThread<Unit>("fleet", 1, settings[ControlSettings.stepMillis], {
        }, { if (isReady()) reconciler.step(currentTime()) })
    private val jobOwnerLoop =
        JobOwnerLoop(
            createJobOwner(),
            settings[ControlSettings.jobStepMillis],
            replica::currentView,
            ::isReady,
            { heartbeatReader.eligibleOwners(replica.currentView(), ownerLapseMillis) },
            System::currentTimeMillis,
        )
    private val membership =
        NodeMembership(
            node,
            replica,
            runner,
            heartbeatStore,
            timing.copy(heartbeatIntervalMillis = minOf(timing.heartbeatIntervalMillis, ownerHeartbeatIntervalMillis)),
            ::monotonicMillis,
            System::currentTimeMillis,
        ) { currentActivity() }
    private val events = EventStreams(log) { replica.currentView().version }
    private val metrics = Metrics()
    private val openedServers = mutableListOf<AutoCloseable>()

    /** Starts all servers and event loops. */
    fun start() {
        openedServers += metrics.serve(settings[CommonSettings.metricsAddress])
        registerGauges(metrics.registry, replica, jobOwnerLoop::lastRound)
        openedServers += GrpcServer.open(settings[ViewSettings.peerAddress], listOf(PeerService(replica::answerPeer)))
        replica.start()
        membership.start()
        heartbeatLoop.start()
        reconcilerLoop.start()
        jobOwnerLoop.start()
        events.start()
        val service = AdminService(createAdminContext(), commandRunner, createJobCalls(), events)
        val tokens = AccessTokens(settings[ControlSettings.readToken], settings[ControlSettings.changeToken])
        openedServers += AdminServer.open(settings, ServerInterceptors.intercept(service, AccessInterceptor(tokens)))
        LOG.info(
            "control process {} serves the administration API at {}",
            node.id,
            settings[ControlSettings.adminAddress],
        )
    }

    override fun close() {
        jobOwnerLoop.close()
        workerCalls.close()
        reconcilerLoop.close()
        heartbeatLoop.close()
        events.close()
        membership.close()
        openedServers.reversed().forEach { it.close() }
        replica.close()
        peers.close()
        platform.close()
    }

    private fun isReady(): Boolean = replica.readiness().ready

    private fun currentActivity(): NodeActivity {
        val round = jobOwnerLoop.lastRound()
        return NodeActivity(versionInForce(), round.busyOutOfService, quarantined = round.quarantined)
    }

    // Until the job owner has run a round with a version, this process may still use instances that the version takes
    // out of service.
    private fun versionInForce() = minOf(replica.currentView().version, jobOwnerLoop.lastRound().version)

    private fun createReconciler(): FleetReconciler {
        val reconcilerSettings =
            FleetReconcilerSettings(
                lapseMillis = timing.lapseMillis,
                warmMillis = settings[ControlSettings.warmMillis],
                lostMillis = settings[ControlSettings.lostMillis],
                maintenancePeriodMillis = settings[ControlSettings.maintenancePeriodMillis],
                platformTimeoutMillis = timing.platformTimeoutMillis,
            )
        val rebooter = Rebooter(platform.table, platform.instances, timing.platformTimeoutMillis)
        return FleetReconciler(
            node.id,
            replica::currentView,
            commandRunner,
            heartbeatStore,
            heartbeatReader,
            platform.instances,
            rebooter,
            createCapacityPlanner(),
            reconcilerSettings,
        )
    }

    private fun createCapacityPlanner(): CapacityPlanner {
        val weights =
            CapacityWeights(
                idleCostPerInstanceHour = settings[ControlSettings.idleCost],
                costPerMove = settings[ControlSettings.moveCost],
                lateCostPerInstanceHour = settings[ControlSettings.lateCost],
            )
        return CapacityPlanner(CapacitySettings(weights), settings[ControlSettings.capacityPeriodMillis])
    }

    private fun createJobOwner(): JobOwner {
        val ownerSettings =
            JobOwnerSettings(
                leaseMillis = settings[ControlSettings.jobLeaseMillis],
                leaseMarginMillis = settings[ControlSettings.jobLeaseMarginMillis],
                tableTimeoutMillis = timing.platformTimeoutMillis,
            )
        return JobOwner(platform.table, platform.tasks, node.id, ownerSettings, workerCalls)
    }

    private fun createJobCalls() = JobCalls(JobAcceptance(platform.table), timing.platformTimeoutMillis)

    private fun createAdminContext() = AdminContext(
        self = node.id,
        replica = replica,
        currentTime = ::currentTime,
        observations = heartbeatReader::observations,
        ownedPools = { jobOwnerLoop.lastRound().ownedPools },
        lapseMillis = timing.lapseMillis,
    )

    private fun currentTime() = CurrentTime(monotonicMillis(), System.currentTimeMillis())

    private companion object {
        const val WORKER_CALL_THREADS = 8

        /** Heartbeats written, and readings of all heartbeats, within the lapse time of an owner; two may be late. */
        const val HEARTBEATS_PER_LAPSE = 4
        val LOG = LoggerFactory.getLogger(ControlNode::class.java)
    }
}

private const val NANOS_PER_MILLI = 1_000_000L

private fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

// Wires one control process: its view, its part of the fleet's upkeep and of the jobs, and the administration API.

package org.gypsumturn.control

import io.grpc.ServerInterceptors
import org.gypsumturn.control.admin.AccessInterceptor
import org.gypsumturn.control.admin.AccessTokens
import org.gypsumturn.control.admin.AdminContext
import org.gypsumturn.control.admin.AdminPort
import org.gypsumturn.control.admin.AdminService
import org.gypsumturn.control.admin.EventStreams
import org.gypsumturn.control.admin.JobCalls
import org.gypsumturn.control.fleet.BeatWatch
import org.gypsumturn.control.fleet.CapacityPlan
import org.gypsumturn.control.fleet.FleetCommands
import org.gypsumturn.control.fleet.FleetUpkeep
import org.gypsumturn.control.fleet.Now
import org.gypsumturn.control.fleet.Rebooter
import org.gypsumturn.control.fleet.UpkeepSettings
import org.gypsumturn.control.job.JobDuty
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

/** One control process. */
internal class ControlNode(private val settings: Settings) : AutoCloseable {
    private val keeping = ViewSettings.timing(settings)
    private val node = ViewSettings.createNode(settings, NodeRole.CONTROL)
    private val platform = PlatformClient(settings[ViewSettings.platformAddress].toAddress())
    private val log = ViewLog(platform.table, keeping.platformTimeoutMillis)
    private val beats = NodeHeartbeatStore(platform.table, keeping.platformTimeoutMillis)
    private val peers = PeerClients(keeping.peerTimeoutMillis)
    private val keeper =
        ViewReplica(node, log, peers, settings[ViewSettings.seeds].map { it.toAddress() }, keeping, ::monotonicMillis)
    private val workerCalls = ParallelWorkerCalls(WORKER_CALL_THREADS)
    private val runner = ChangeRunner(keeper, log, ::monotonicMillis)
    private val commands = FleetCommands(runner)
    private val ownerLapseMillis = settings[ControlSettings.ownerLapseMillis]
    private val beatPauseMillis = ownerLapseMillis / BEATS_PER_LAPSE
    private val watch = BeatWatch(beats, maxGapMillis = ownerLapseMillis / 2)
    private val watchDuty = EventLoopThread<Unit>("beats", 1, beatPauseMillis, {}, { watch.step(monotonicMillis()) })
    private val upkeep = upkeepOf()
    private val upkeepDuty =
        EventLoopThread<Unit>("fleet", 1, settings[ControlSettings.stepMillis], {
        }, { if (isReady()) upkeep.step(now()) })
    private val jobDuty =
        JobDuty(
            jobOwner(),
            settings[ControlSettings.jobStepMillis],
            keeper::currentView,
            ::isReady,
            { watch.owners(keeper.currentView(), ownerLapseMillis) },
            System::currentTimeMillis,
        )
    private val membership =
        NodeMembership(
            node,
            keeper,
            runner,
            beats,
            keeping.copy(heartbeatIntervalMillis = minOf(keeping.heartbeatIntervalMillis, beatPauseMillis)),
            ::monotonicMillis,
            System::currentTimeMillis,
        ) { activity() }
    private val events = EventStreams(log) { keeper.currentView().version }
    private val metrics = Metrics()
    private val opened = mutableListOf<AutoCloseable>()

    /** Starts all duties and opens all ports. */
    fun start() {
        opened += metrics.serve(settings[CommonSettings.metricsAddress])
        publishGauges(metrics.registry, keeper, jobDuty::lastRound)
        opened += GrpcServer.open(settings[ViewSettings.peerAddress], listOf(PeerService(keeper::answerPeer)))
        keeper.start()
        membership.start()
        watchDuty.start()
        upkeepDuty.start()
        jobDuty.start()
        events.start()
        val service = AdminService(adminContext(), commands, jobCalls(), events)
        val tokens = AccessTokens(settings[ControlSettings.readToken], settings[ControlSettings.changeToken])
        opened += AdminPort.open(settings, ServerInterceptors.intercept(service, AccessInterceptor(tokens)))
        LOG.info("control {} serves operators at {}", node.id, settings[ControlSettings.adminAddress])
    }

    override fun close() {
        jobDuty.close()
        workerCalls.close()
        upkeepDuty.close()
        watchDuty.close()
        events.close()
        membership.close()
        opened.reversed().forEach { it.close() }
        keeper.close()
        peers.close()
        platform.close()
    }

    private fun isReady(): Boolean = keeper.readiness().ready

    private fun activity(): NodeActivity {
        val round = jobDuty.lastRound()
        return NodeActivity(versionInForce(), round.busyOutOfService, quarantined = round.quarantined)
    }

    // Until the job duty has worked with a version, this process has not stopped using what the version takes away.
    private fun versionInForce() = minOf(keeper.currentView().version, jobDuty.lastRound().version)

    private fun upkeepOf(): FleetUpkeep {
        val times =
            UpkeepSettings(
                lapseMillis = keeping.lapseMillis,
                warmMillis = settings[ControlSettings.warmMillis],
                lostMillis = settings[ControlSettings.lostMillis],
                maintenancePeriodMillis = settings[ControlSettings.maintenancePeriodMillis],
                platformTimeoutMillis = keeping.platformTimeoutMillis,
            )
        val rebooter = Rebooter(platform.table, platform.instances, keeping.platformTimeoutMillis)
        return FleetUpkeep(
            node.id,
            keeper::currentView,
            commands,
            beats,
            watch,
            platform.instances,
            rebooter,
            capacityPlan(),
            times,
        )
    }

    private fun capacityPlan(): CapacityPlan {
        val weights =
            CapacityWeights(
                idleCostPerInstanceHour = settings[ControlSettings.bufferCost],
                costPerMove = settings[ControlSettings.moveCost],
                lateCostPerInstanceHour = settings[ControlSettings.lateCost],
            )
        return CapacityPlan(CapacitySettings(weights), settings[ControlSettings.capacityPeriodMillis])
    }

    private fun jobOwner(): JobOwner {
        val owner =
            JobOwnerSettings(
                leaseMillis = settings[ControlSettings.jobLeaseMillis],
                leaseMarginMillis = settings[ControlSettings.jobLeaseMarginMillis],
                tableTimeoutMillis = keeping.platformTimeoutMillis,
            )
        return JobOwner(platform.table, platform.tasks, node.id, owner, workerCalls)
    }

    private fun jobCalls() = JobCalls(JobAcceptance(platform.table), keeping.platformTimeoutMillis)

    private fun adminContext() = AdminContext(
        self = node.id,
        keeper = keeper,
        now = ::now,
        observations = watch::observations,
        ownedPools = { jobDuty.lastRound().ownedPools },
        lapseMillis = keeping.lapseMillis,
    )

    private fun now() = Now(monotonicMillis(), System.currentTimeMillis())

    private companion object {
        const val WORKER_CALL_THREADS = 8

        /** Beats written, and readings of all beats, within the lapse of an owner; two may be late. */
        const val BEATS_PER_LAPSE = 4
        val LOG = LoggerFactory.getLogger(ControlNode::class.java)
    }
}

private const val NANOS_PER_MILLI = 1_000_000L

private fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

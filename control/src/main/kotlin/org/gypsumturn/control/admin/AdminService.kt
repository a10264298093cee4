// The administration API. Maps each call to a fleet command, a job operation or a query, and the outcome to a reply.

package org.gypsumturn.control.admin

import io.grpc.stub.StreamObserver
import org.gypsumturn.control.fleet.CurrentTime
import org.gypsumturn.control.fleet.FleetCommandRunner
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.valueOr
import org.gypsumturn.peer.ChangeHeader
import org.gypsumturn.peer.ChangeOutcome
import org.gypsumturn.peer.ViewReplica
import org.gypsumturn.schema.admin.AddInstanceRequest
import org.gypsumturn.schema.admin.AdminGrpc
import org.gypsumturn.schema.admin.ApplyConfigurationRequest
import org.gypsumturn.schema.admin.CancelJobsReply
import org.gypsumturn.schema.admin.CancelJobsRequest
import org.gypsumturn.schema.admin.DeleteRequest
import org.gypsumturn.schema.admin.Event
import org.gypsumturn.schema.admin.GetJobRequest
import org.gypsumturn.schema.admin.GetRolloutReply
import org.gypsumturn.schema.admin.GetRolloutRequest
import org.gypsumturn.schema.admin.GetStatusReply
import org.gypsumturn.schema.admin.GetStatusRequest
import org.gypsumturn.schema.admin.InstanceRequest
import org.gypsumturn.schema.admin.Job
import org.gypsumturn.schema.admin.ListInstancesReply
import org.gypsumturn.schema.admin.ListInstancesRequest
import org.gypsumturn.schema.admin.ListJobsReply
import org.gypsumturn.schema.admin.ListJobsRequest
import org.gypsumturn.schema.admin.ListPoolsReply
import org.gypsumturn.schema.admin.ListPoolsRequest
import org.gypsumturn.schema.admin.ListServicesReply
import org.gypsumturn.schema.admin.ListServicesRequest
import org.gypsumturn.schema.admin.ListTeamsReply
import org.gypsumturn.schema.admin.ListTeamsRequest
import org.gypsumturn.schema.admin.ListWavesReply
import org.gypsumturn.schema.admin.ListWavesRequest
import org.gypsumturn.schema.admin.MoveInstanceRequest
import org.gypsumturn.schema.admin.Mutating
import org.gypsumturn.schema.admin.MutationReply
import org.gypsumturn.schema.admin.PutPoolRequest
import org.gypsumturn.schema.admin.PutServiceRequest
import org.gypsumturn.schema.admin.PutTeamRequest
import org.gypsumturn.schema.admin.SetBudgetRequest
import org.gypsumturn.schema.admin.StartWaveRequest
import org.gypsumturn.schema.admin.SubmitJobReply
import org.gypsumturn.schema.admin.SubmitJobRequest
import org.gypsumturn.schema.admin.WatchEventsRequest
import org.gypsumturn.schema.admin.WaveRequest
import org.gypsumturn.view.HeartbeatObservations

/** The parts of the control process that the administration API queries. */
internal class AdminContext(
    val self: NodeId,
    val replica: ViewReplica,
    val currentTime: () -> CurrentTime,
    val observations: () -> HeartbeatObservations,
    val ownedPools: () -> List<PoolId>,
    val lapseMillis: Long,
)

/** Serves the administration API. Calls block on the table, so the server needs its own executor. */
internal class AdminService(
    private val context: AdminContext,
    private val commandRunner: FleetCommandRunner,
    private val jobs: JobCalls,
    private val events: EventStreams,
) : AdminGrpc.AdminImplBase() {
    override fun listPools(request: ListPoolsRequest, observer: StreamObserver<ListPoolsReply>): Unit =
        reply(observer) {
            val view = view()
            val pools = view.pools.values.sortedBy { it.id }.map { it.toMessage(view) }
            ListPoolsReply.newBuilder().addAllPools(pools).setVersion(view.version.value).build()
        }

    override fun putPool(request: PutPoolRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) {
            FleetCommand.PutPool(request.pool.toModel(), request.header.expected())
        }

    override fun deletePool(request: DeleteRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) {
            FleetCommand.DeletePool(PoolId(request.id), request.header.expected())
        }

    override fun setBudget(request: SetBudgetRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) { request.toCommand() }

    override fun listServices(request: ListServicesRequest, observer: StreamObserver<ListServicesReply>): Unit =
        reply(observer) {
            val view = view()
            val services = view.services.values.sortedBy { it.id }.map { it.toMessage() }
            ListServicesReply.newBuilder().addAllServices(services).setVersion(view.version.value).build()
        }

    override fun putService(request: PutServiceRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) {
            FleetCommand.PutService(request.service.toModel(), request.header.expected())
        }

    override fun deleteService(request: DeleteRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) {
            FleetCommand.DeleteService(ServiceId(request.id), request.header.expected())
        }

    override fun listTeams(request: ListTeamsRequest, observer: StreamObserver<ListTeamsReply>): Unit =
        reply(observer) {
            val view = view()
            val teams = view.teams.values.sortedBy { it.id }.map { it.toMessage() }
            ListTeamsReply.newBuilder().addAllTeams(teams).setVersion(view.version.value).build()
        }

    override fun putTeam(request: PutTeamRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) {
            FleetCommand.PutTeam(request.team.toModel(), request.header.expected())
        }

    override fun deleteTeam(request: DeleteRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) {
            FleetCommand.DeleteTeam(TeamId(request.id), request.header.expected())
        }

    override fun listInstances(request: ListInstancesRequest, observer: StreamObserver<ListInstancesReply>): Unit =
        reply(observer) {
            val view = view()
            val selected = view.instances.values.filter { request.pool.isEmpty() || it.pool.value == request.pool }
            val instances = selected.sortedBy { it.id }.map { it.toMessage() }
            ListInstancesReply.newBuilder().addAllInstances(instances).setVersion(view.version.value).build()
        }

    override fun addInstance(request: AddInstanceRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) { FleetCommand.AddInstance(request.instance.toModel()) }

    override fun removeInstance(request: DeleteRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) { instanceCommand(request.id, request.header, FleetCommand::RemoveInstance) }

    override fun drainInstance(request: InstanceRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) {
            instanceCommand(request.instance, request.header, FleetCommand::DrainInstance)
        }

    override fun returnInstance(request: InstanceRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) {
            instanceCommand(request.instance, request.header, FleetCommand::ReturnInstance)
        }

    override fun rebootInstance(request: InstanceRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) {
            instanceCommand(request.instance, request.header) { id, expected ->
                FleetCommand.RebootInstance(id, null, expected)
            }
        }

    override fun moveInstance(request: MoveInstanceRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) {
            instanceCommand(request.instance, request.header) { id, expected ->
                FleetCommand.MoveInstance(id, PoolId(request.destinationPool), expected)
            }
        }

    override fun listWaves(request: ListWavesRequest, observer: StreamObserver<ListWavesReply>): Unit =
        reply(observer) {
            val view = view()
            val waves = view.waves.values.sortedBy { it.id }.map { it.toMessage(view) }
            ListWavesReply.newBuilder().addAllWaves(waves).setVersion(view.version.value).build()
        }

    override fun startWave(request: StartWaveRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) { FleetCommand.StartWave(request.wave.toModel()) }

    override fun pauseWave(request: WaveRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) { waveCommand(request.wave, request.header, FleetCommand::PauseWave) }

    override fun resumeWave(request: WaveRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) { waveCommand(request.wave, request.header, FleetCommand::ResumeWave) }

    override fun abortWave(request: WaveRequest, observer: StreamObserver<MutationReply>): Unit =
        change(request.header, observer) { waveCommand(request.wave, request.header, FleetCommand::AbortWave) }

    override fun applyConfiguration(
        request: ApplyConfigurationRequest,
        observer: StreamObserver<MutationReply>,
    ): Unit = change(request.header, observer) { request.toCommand() }

    override fun getRollout(request: GetRolloutRequest, observer: StreamObserver<GetRolloutReply>): Unit =
        reply(observer) {
            val view = view()
            val version = if (request.version == 0L) view.version else ViewVersion(request.version)
            val now = context.currentTime().monotonicMillis
            rolloutOf(now, view, context.observations(), version, context.lapseMillis)
        }

    override fun submitJob(request: SubmitJobRequest, observer: StreamObserver<SubmitJobReply>): Unit =
        reply(observer) { jobs.submit(context.currentTime().wallMillis, view(), request) }

    override fun getJob(request: GetJobRequest, observer: StreamObserver<Job>): Unit =
        reply(observer) { jobs.get(request) }

    override fun listJobs(request: ListJobsRequest, observer: StreamObserver<ListJobsReply>): Unit =
        reply(observer) { jobs.list(request) }

    override fun cancelJobs(request: CancelJobsRequest, observer: StreamObserver<CancelJobsReply>): Unit =
        reply(observer) { jobs.cancel(context.currentTime().wallMillis, request) }

    override fun watchEvents(request: WatchEventsRequest, observer: StreamObserver<Event>) {
        events.subscribe(ViewVersion(request.afterVersion), observer)
    }

    override fun getStatus(request: GetStatusRequest, observer: StreamObserver<GetStatusReply>): Unit =
        reply(observer) {
            val tableStatus = context.replica.tableStatus()
            val confirmedAt = tableStatus.confirmedAtMillis
            GetStatusReply
                .newBuilder()
                .setNode(context.self.value)
                .setVersion(view().version.value)
                .setStoreReachable(tableStatus.reachable)
                .setStoreSeenMillisAgo(confirmedAt?.let { context.currentTime().monotonicMillis - it } ?: -1)
                .addAllOwnedPools(context.ownedPools().map { it.value })
                .build()
        }

    private fun view(): FleetView = context.replica.currentView()

    private fun change(header: Mutating, observer: StreamObserver<MutationReply>, command: () -> FleetCommand) {
        reply(observer) {
            val outcome = commandRunner.run(changeHeaderOf(header), command()).valueOr {
                throw toException(failureOf(it))
            }
            when (outcome) {
                is ChangeOutcome.Refused -> throw toException(CallFailure.Refused(outcome.refusal))

                is ChangeOutcome.Made ->
                    MutationReply
                        .newBuilder()
                        .setVersion(outcome.version.value)
                        .setRepeated(outcome.repeated)
                        .build()
            }
        }
    }

    private fun changeHeaderOf(header: Mutating): ChangeHeader {
        if (header.operationId.isEmpty()) throw MalformedFieldException("operation_id", "must not be empty")
        val operator = header.operator.ifEmpty { "unknown" }
        return ChangeHeader(OperationId(header.operationId), OperatorId(operator), context.currentTime().wallMillis)
    }
}

/** Sends the reply that [createReply] returns, or the error that it throws. */
internal fun <R> reply(observer: StreamObserver<R>, createReply: () -> R) {
    val reply =
        try {
            createReply()
        } catch (e: MalformedFieldException) {
            observer.onError(toException(CallFailure.Malformed(e.field, e.message.orEmpty())))
            return
        } catch (e: io.grpc.StatusRuntimeException) {
            observer.onError(e)
            return
        }
    observer.onNext(reply)
    observer.onCompleted()
}

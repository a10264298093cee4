// Server side of the platform's gRPC schema, for the stand-in and for tests. It serves any implementation of the ports.

package org.gypsumturn.ports.grpc

import com.google.protobuf.ByteString
import io.grpc.BindableService
import io.grpc.Context
import io.grpc.Status
import io.grpc.stub.StreamObserver
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.ObjectName
import org.gypsumturn.ports.ObjectStore
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.TaskAction
import org.gypsumturn.ports.WorkerTasks
import org.gypsumturn.schema.platform.ActReply
import org.gypsumturn.schema.platform.ActRequest
import org.gypsumturn.schema.platform.CommitReply
import org.gypsumturn.schema.platform.CommitRequest
import org.gypsumturn.schema.platform.ForgetReply
import org.gypsumturn.schema.platform.ForgetRequest
import org.gypsumturn.schema.platform.GetObjectReply
import org.gypsumturn.schema.platform.GetObjectRequest
import org.gypsumturn.schema.platform.InstancesGrpc
import org.gypsumturn.schema.platform.ListReply
import org.gypsumturn.schema.platform.ListRequest
import org.gypsumturn.schema.platform.ObjectsGrpc
import org.gypsumturn.schema.platform.PutObjectReply
import org.gypsumturn.schema.platform.PutObjectRequest
import org.gypsumturn.schema.platform.ReadRequest
import org.gypsumturn.schema.platform.RebootReply
import org.gypsumturn.schema.platform.RebootRequest
import org.gypsumturn.schema.platform.RemoveObjectReply
import org.gypsumturn.schema.platform.RemoveObjectRequest
import org.gypsumturn.schema.platform.RenewTasksRequest
import org.gypsumturn.schema.platform.RowsReply
import org.gypsumturn.schema.platform.ScanRequest
import org.gypsumturn.schema.platform.StartTaskReply
import org.gypsumturn.schema.platform.StartTaskRequest
import org.gypsumturn.schema.platform.TableGrpc
import org.gypsumturn.schema.platform.TasksGrpc
import org.gypsumturn.schema.platform.WorkerReport
import java.util.concurrent.TimeUnit

/**
 * Makes gRPC services from the ports. A call that did not run is answered with FAILED_PRECONDITION, or with
 * INVALID_ARGUMENT if the request is invalid. A call that may have run is never answered, so that the client's deadline
 * passes.
 */
public object PlatformServices {
    /** Service that calls [table]. */
    public fun table(table: TableStore): BindableService = TableService(table)

    /** Service that calls [objects]. */
    public fun objects(objects: ObjectStore): BindableService = ObjectsService(objects)

    /** Service that calls [instances]. */
    public fun instances(instances: InstanceList): BindableService = InstancesService(instances)

    /** Service that calls [tasks]. */
    public fun tasks(tasks: WorkerTasks): BindableService = TasksService(tasks)
}

// Applies to calls without a deadline.
private const val DEFAULT_TIMEOUT_MILLIS = 60_000L

private fun remainingMillis(): Long =
    Context.current().deadline?.timeRemaining(TimeUnit.MILLISECONDS) ?: DEFAULT_TIMEOUT_MILLIS

private fun <T, R> StreamObserver<R>.answer(verdict: Verdict<T>, toReply: (T) -> R) {
    when (verdict) {
        is Verdict.Ran -> {
            onNext(toReply(verdict.value))
            onCompleted()
        }

        is Verdict.NotRun -> {
            val invalid = verdict.failure.kind == FailureKind.INVALID
            val status = if (invalid) Status.INVALID_ARGUMENT else Status.FAILED_PRECONDITION
            onError(status.withDescription(verdict.failure.message).asRuntimeException())
        }

        is Verdict.MayHaveRun -> Unit
    }
}

private class TableService(private val table: TableStore) : TableGrpc.TableImplBase() {
    override fun read(request: ReadRequest, observer: StreamObserver<RowsReply>) {
        observer.answer(table.read(request.keysList.map(::RowKey), remainingMillis()), ::rowsReply)
    }

    override fun scan(request: ScanRequest, observer: StreamObserver<RowsReply>) {
        val after = request.after.ifEmpty { null }?.let(::RowKey)
        observer.answer(table.scan(request.prefix, after, request.limit, remainingMillis()), ::rowsReply)
    }

    override fun commit(request: CommitRequest, observer: StreamObserver<CommitReply>) {
        observer.answer(table.commit(request.toTransaction(), remainingMillis()), ::commitReply)
    }

    private fun rowsReply(rows: List<Row>) = RowsReply.newBuilder().addAllRows(rows.map { it.toProto() }).build()

    private fun commitReply(outcome: CommitOutcome): CommitReply = when (outcome) {
        is CommitOutcome.Committed ->
            CommitReply.newBuilder().setCommitted(true).setRevision(outcome.revision.value).build()

        is CommitOutcome.Conflict ->
            CommitReply.newBuilder().addAllChanged(outcome.changed.map { it.toProto() }).build()
    }
}

private class ObjectsService(private val objects: ObjectStore) : ObjectsGrpc.ObjectsImplBase() {
    override fun put(request: PutObjectRequest, observer: StreamObserver<PutObjectReply>) {
        val verdict = objects.put(ObjectName(request.name), request.content.toByteArray(), remainingMillis())
        observer.answer(verdict) { PutObjectReply.getDefaultInstance() }
    }

    override fun get(request: GetObjectRequest, observer: StreamObserver<GetObjectReply>) {
        observer.answer(objects.get(ObjectName(request.name), remainingMillis())) { bytes ->
            val reply = GetObjectReply.newBuilder()
            if (bytes != null) reply.setPresent(true).setContent(ByteString.copyFrom(bytes))
            reply.build()
        }
    }

    override fun remove(request: RemoveObjectRequest, observer: StreamObserver<RemoveObjectReply>) {
        val verdict = objects.remove(ObjectName(request.name), remainingMillis())
        observer.answer(verdict) { RemoveObjectReply.getDefaultInstance() }
    }
}

private class InstancesService(private val instances: InstanceList) : InstancesGrpc.InstancesImplBase() {
    override fun list(request: ListRequest, observer: StreamObserver<ListReply>) {
        observer.answer(instances.list(remainingMillis())) { listing ->
            ListReply
                .newBuilder()
                .setAsOfMillis(listing.asOfMillis)
                .addAllInstances(listing.instances.map { it.toProto() })
                .build()
        }
    }

    override fun reboot(request: RebootRequest, observer: StreamObserver<RebootReply>) {
        val verdict = instances.reboot(InstanceId(request.instance), remainingMillis())
        observer.answer(verdict) { RebootReply.getDefaultInstance() }
    }
}

private class TasksService(private val tasks: WorkerTasks) : TasksGrpc.TasksImplBase() {
    override fun start(request: StartTaskRequest, observer: StreamObserver<StartTaskReply>) {
        val verdict = tasks.start(InstanceId(request.worker), request.toTaskStart(), remainingMillis())
        observer.answer(verdict) { StartTaskReply.newBuilder().setOutcome(it.name).build() }
    }

    override fun renew(request: RenewTasksRequest, observer: StreamObserver<WorkerReport>) {
        val keys = request.tasksList.map { it.toTaskKey() }
        val verdict = tasks.renew(InstanceId(request.worker), keys, request.leaseMillis, remainingMillis())
        observer.answer(verdict) { it.toProto() }
    }

    override fun act(request: ActRequest, observer: StreamObserver<ActReply>) {
        val action = TaskAction.valueOf(request.action)
        val verdict = tasks.act(InstanceId(request.worker), request.task.toTaskKey(), action, remainingMillis())
        observer.answer(verdict) { ActReply.getDefaultInstance() }
    }

    override fun forget(request: ForgetRequest, observer: StreamObserver<ForgetReply>) {
        val keys = request.tasksList.map { it.toTaskKey() }
        val verdict = tasks.forget(InstanceId(request.worker), keys, remainingMillis())
        observer.answer(verdict) { ForgetReply.getDefaultInstance() }
    }
}

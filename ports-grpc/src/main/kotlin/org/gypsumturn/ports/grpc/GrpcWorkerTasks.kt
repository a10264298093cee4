// Implements the port to the workers with gRPC calls to the platform.

package org.gypsumturn.ports.grpc

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.map
import org.gypsumturn.ports.StartOutcome
import org.gypsumturn.ports.TaskAction
import org.gypsumturn.ports.TaskKey
import org.gypsumturn.ports.TaskStart
import org.gypsumturn.ports.WorkerReport
import org.gypsumturn.ports.WorkerTasks
import org.gypsumturn.schema.platform.ActRequest
import org.gypsumturn.schema.platform.ForgetRequest
import org.gypsumturn.schema.platform.RenewTasksRequest
import org.gypsumturn.schema.platform.TasksGrpc

internal class GrpcWorkerTasks(private val channel: PlatformChannel) : WorkerTasks {
    override fun start(worker: InstanceId, task: TaskStart, timeoutMillis: Long): Verdict<StartOutcome> {
        val request = task.toProto(worker)
        return channel
            .call(TasksGrpc::newBlockingStub, Effect.WRITES, timeoutMillis) { it.start(request) }
            .map { StartOutcome.valueOf(it.outcome) }
    }

    override fun renew(
        worker: InstanceId,
        tasks: List<TaskKey>,
        leaseMillis: Long,
        timeoutMillis: Long,
    ): Verdict<WorkerReport> {
        val request =
            RenewTasksRequest
                .newBuilder()
                .setWorker(worker.value)
                .addAllTasks(tasks.map { it.toProto() })
                .setLeaseMillis(leaseMillis)
                .build()
        return channel
            .call(TasksGrpc::newBlockingStub, Effect.WRITES, timeoutMillis) { it.renew(request) }
            .map { reply -> reply.toWorkerReport() }
    }

    override fun act(worker: InstanceId, task: TaskKey, action: TaskAction, timeoutMillis: Long): Verdict<Unit> {
        val request =
            ActRequest
                .newBuilder()
                .setWorker(worker.value)
                .setTask(task.toProto())
                .setAction(action.name)
                .build()
        return channel
            .call(TasksGrpc::newBlockingStub, Effect.WRITES, timeoutMillis) { it.act(request) }
            .map { }
    }

    override fun forget(worker: InstanceId, tasks: List<TaskKey>, timeoutMillis: Long): Verdict<Unit> {
        val request =
            ForgetRequest
                .newBuilder()
                .setWorker(worker.value)
                .addAllTasks(tasks.map { it.toProto() })
                .build()
        return channel
            .call(TasksGrpc::newBlockingStub, Effect.WRITES, timeoutMillis) { it.forget(request) }
            .map { }
    }
}

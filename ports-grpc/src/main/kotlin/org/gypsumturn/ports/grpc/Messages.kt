// Conversion between the messages of the platform's gRPC schema and the types of the ports, in both directions.

package org.gypsumturn.ports.grpc

import org.gypsumturn.model.Address
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Revision
import org.gypsumturn.ports.Condition
import org.gypsumturn.ports.ListedInstance
import org.gypsumturn.ports.ListedState
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TaskKey
import org.gypsumturn.ports.TaskReport
import org.gypsumturn.ports.TaskStart
import org.gypsumturn.ports.TaskState
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.WorkerReport
import org.gypsumturn.ports.Write
import org.gypsumturn.schema.platform.CommitCondition
import org.gypsumturn.schema.platform.CommitRequest
import org.gypsumturn.schema.platform.CommitWrite
import org.gypsumturn.schema.platform.StartTaskRequest
import org.gypsumturn.schema.platform.TableRow
import org.gypsumturn.schema.platform.ListedInstance as ListedInstanceMessage
import org.gypsumturn.schema.platform.TaskKey as TaskKeyMessage
import org.gypsumturn.schema.platform.TaskReport as TaskReportMessage
import org.gypsumturn.schema.platform.WorkerReport as WorkerReportMessage

internal fun TableRow.toRow(): Row = Row(RowKey(key), Revision(revision), if (present) value else null)

internal fun Row.toProto(): TableRow = TableRow
    .newBuilder()
    .setKey(key.value)
    .setRevision(revision.value)
    .setPresent(value != null)
    .setValue(value.orEmpty())
    .build()

internal fun Transaction.toProto(): CommitRequest = CommitRequest
    .newBuilder()
    .addAllConditions(conditions.map { it.toProto() })
    .addAllWrites(writes.map { it.toProto() })
    .build()

private fun Condition.toProto() = CommitCondition.newBuilder().setKey(key.value).setRevision(revision.value).build()

private fun Write.toProto() = CommitWrite
    .newBuilder()
    .setKey(key.value)
    .setPresent(value != null)
    .setValue(value.orEmpty())
    .build()

internal fun CommitRequest.toTransaction(): Transaction = Transaction(
    conditionsList.map { Condition(RowKey(it.key), Revision(it.revision)) },
    writesList.map { Write(RowKey(it.key), if (it.present) it.value else null) },
)

internal fun ListedInstanceMessage.toListedInstance(): ListedInstance = ListedInstance(
    InstanceId(id),
    FailureDomain(RegionId(region), DataCentreId(dataCentre), RackId(rack)),
    Address(host, port),
    Capacity(processorsMilli, memoryMib, accelerators),
    slots,
    connections,
    if (leaving) ListedState.LEAVING else ListedState.LIVE,
    bootCount,
)

internal fun ListedInstance.toProto(): ListedInstanceMessage = ListedInstanceMessage
    .newBuilder()
    .setId(id.value)
    .setRegion(domain.region.value)
    .setDataCentre(domain.dataCentre.value)
    .setRack(domain.rack.value)
    .setHost(address.host)
    .setPort(address.port)
    .setProcessorsMilli(capacity.processorsMilli)
    .setMemoryMib(capacity.memoryMib)
    .setAccelerators(capacity.accelerators)
    .setSlots(slots)
    .setConnections(connections)
    .setLeaving(state == ListedState.LEAVING)
    .setBootCount(bootCount)
    .build()

internal fun TaskKey.toProto(): TaskKeyMessage =
    TaskKeyMessage.newBuilder().setJob(job.value).setAttempt(attempt).setEpoch(epoch.value).build()

internal fun TaskKeyMessage.toTaskKey(): TaskKey = TaskKey(JobId(job), attempt, Epoch(epoch))

internal fun TaskStart.toProto(worker: InstanceId): StartTaskRequest = StartTaskRequest
    .newBuilder()
    .setWorker(worker.value)
    .setKey(key.toProto())
    .setLimitProcessorsMilli(limit.processorsMilli)
    .setLimitMemoryMib(limit.memoryMib)
    .setLimitAccelerators(limit.accelerators)
    .setLeaseMillis(leaseMillis)
    .setPayload(payload)
    .setCheckpoint(checkpoint.orEmpty())
    .build()

internal fun StartTaskRequest.toTaskStart(): TaskStart = TaskStart(
    key.toTaskKey(),
    Capacity(limitProcessorsMilli, limitMemoryMib, limitAccelerators),
    leaseMillis,
    payload,
    checkpoint.ifEmpty { null },
)

internal fun WorkerReportMessage.toWorkerReport(): WorkerReport =
    WorkerReport(InstanceId(worker), tasksList.map { it.toTaskReport() })

private fun TaskReportMessage.toTaskReport() = TaskReport(
    key.toTaskKey(),
    TaskState.valueOf(state),
    Capacity(usedProcessorsMilli, usedMemoryMib, usedAccelerators),
    ranMillis,
    output,
)

internal fun WorkerReport.toProto(): WorkerReportMessage =
    WorkerReportMessage.newBuilder().setWorker(worker.value).addAllTasks(tasks.map { it.toProto() }).build()

private fun TaskReport.toProto() = TaskReportMessage
    .newBuilder()
    .setKey(key.toProto())
    .setState(state.name)
    .setUsedProcessorsMilli(usage.processorsMilli)
    .setUsedMemoryMib(usage.memoryMib)
    .setUsedAccelerators(usage.accelerators)
    .setRanMillis(ranMillis)
    .setOutput(output)
    .build()

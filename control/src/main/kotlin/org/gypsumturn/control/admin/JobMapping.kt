// Maps between job records and messages of the administration API.

package org.gypsumturn.control.admin

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.JobState
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId
import org.gypsumturn.schema.admin.Job as JobMessage

internal fun JobMessage.toSpec(): JobSpec = JobSpec(
    id = JobId(requireNonEmpty("id", id)),
    pool = PoolId(requireNonEmpty("pool", pool)),
    team = TeamId(requireNonEmpty("team", team)),
    jobClass = JobClassId(requireNonEmpty("job_class", jobClass)),
    priority = parseEnum("priority", priority, Priority.NORMAL),
    declared = if (hasDeclared()) declared.toModel() else Capacity.ZERO,
    declaredMillis = declaredMillis,
    idempotent = idempotent,
    payload = payload,
)

internal fun parseJobState(text: String): JobState? =
    if (text.isEmpty()) null else parseEnum("state", text, JobState.ACCEPTED)

internal fun JobRecord.toMessage(): JobMessage = JobMessage
    .newBuilder()
    .setId(spec.id.value)
    .setPool(spec.pool.value)
    .setTeam(spec.team.value)
    .setJobClass(spec.jobClass.value)
    .setPriority(spec.priority.name)
    .setDeclared(spec.declared.toMessage())
    .setDeclaredMillis(spec.declaredMillis)
    .setIdempotent(spec.idempotent)
    .setPayload(spec.payload)
    .setState(state.name)
    .setAttempt(attempt)
    .setWorker(worker?.value.orEmpty())
    .setAcceptedAtMillis(acceptedAtMillis)
    .setAssignedAtMillis(assignedAtMillis)
    .setFinishedAtMillis(finishedAtMillis)
    .setReason(reason)
    .setOutput(output)
    .build()

private fun requireNonEmpty(field: String, value: String): String =
    value.ifEmpty { throw MalformedFieldException(field, "must not be empty") }

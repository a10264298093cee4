// Subcommands that list, create, replace and delete services and teams.

package org.gypsumturn.cli.command

import com.google.protobuf.Message
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.gypsumturn.model.Priority
import org.gypsumturn.schema.admin.AdminGrpc.AdminBlockingStub
import org.gypsumturn.schema.admin.Capacity
import org.gypsumturn.schema.admin.ListServicesRequest
import org.gypsumturn.schema.admin.ListTeamsRequest
import org.gypsumturn.schema.admin.Mutating
import org.gypsumturn.schema.admin.PutServiceRequest
import org.gypsumturn.schema.admin.PutTeamRequest
import org.gypsumturn.schema.admin.Service
import org.gypsumturn.schema.admin.Team

private const val DEFAULT_REQUEST_TIMEOUT_MILLIS = 10_000
private const val DEFAULT_MAX_QUEUED = 1_000
private const val DEFAULT_MAX_ANSWER_BYTES = 1_048_576

internal fun serviceCommands() = CommandGroup(
    "services",
    "services that callers send requests to",
    listOf(
        ReadCommand("list", "list all services") { it.listServices(ListServicesRequest.getDefaultInstance()) },
        PutService(),
        IdCommand("delete", "delete a service") { stub, header, id -> stub.deleteService(deleteRequest(header, id)) },
    ),
)

internal fun teamCommands() = CommandGroup(
    "teams",
    "teams and their quotas",
    listOf(
        ReadCommand("list", "list all teams") { it.listTeams(ListTeamsRequest.getDefaultInstance()) },
        PutTeam(),
        IdCommand("delete", "delete a team") { stub, header, id -> stub.deleteTeam(deleteRequest(header, id)) },
    ),
)

/** Type of the option `--priority`. */
internal val PRIORITY_TYPE = ArgType.Choice<Priority>({ Priority.valueOf(it.uppercase()) }, { it.name.lowercase() })

private class PutService : MutatingCommand("put", "create or replace a service") {
    private val id by argument(ArgType.String, "id", "name of the service")
    private val pool by option(
        ArgType.String,
        "pool",
        description = "pool whose instances serve the requests",
    ).required()
    private val priority by option(PRIORITY_TYPE, "priority", description = "priority of the requests")
        .default(Priority.NORMAL)
    private val requestTimeoutMillis by option(
        ArgType.Int,
        "request-timeout-millis",
        description = "time in milliseconds within which a request must be answered",
    ).default(DEFAULT_REQUEST_TIMEOUT_MILLIS)
    private val idempotent by option(
        ArgType.Boolean,
        "idempotent",
        description = "requests without an idempotency key may be repeated",
    ).default(false)
    private val maxQueued by option(ArgType.Int, "max-queued", description = "most requests that may wait at one entry")
        .default(DEFAULT_MAX_QUEUED)
    private val maxAnswerBytes by option(
        ArgType.Int,
        "max-answer-bytes",
        description = "largest answer that is accepted, in bytes",
    )
        .default(DEFAULT_MAX_ANSWER_BYTES)

    override fun send(stub: AdminBlockingStub, header: Mutating): Message {
        val service =
            Service
                .newBuilder()
                .setId(id)
                .setPool(pool)
                .setPriority(priority.name)
                .setTimeoutMillis(requestTimeoutMillis.toLong())
                .setIdempotent(idempotent)
                .setMaxQueued(maxQueued)
                .setMaxAnswerBytes(maxAnswerBytes)
        return stub.putService(PutServiceRequest.newBuilder().setHeader(header).setService(service).build())
    }
}

private class PutTeam : MutatingCommand("put", "create or replace a team") {
    private val id by argument(ArgType.String, "id", "name of the team")
    private val share by option(
        ArgType.Double,
        "share",
        description = "weight of the team when the capacity outside all quotas is shared out",
    )
        .default(1.0)
    private val quotaProcessorsMilli by option(
        ArgType.Int,
        "quota-processors-milli",
        description = "most processors of its running jobs, in thousandths of a core; no quota option: no quota",
    )
    private val quotaMemoryMib by option(
        ArgType.Int,
        "quota-memory-mib",
        description = "most memory of its running jobs, in mebibytes",
    )
    private val quotaAccelerators by option(
        ArgType.Int,
        "quota-accelerators",
        description = "most accelerators of its running jobs",
    )
    private val maxRequestsInFlight by option(
        ArgType.Int,
        "max-requests-in-flight",
        description = "most requests queued or running at one entry; 0: no limit",
    ).default(0)

    override fun send(stub: AdminBlockingStub, header: Mutating): Message {
        val team = Team.newBuilder().setId(id).setShare(share).setMaxRequestsInFlight(maxRequestsInFlight)
        if (listOfNotNull(quotaProcessorsMilli, quotaMemoryMib, quotaAccelerators).isNotEmpty()) {
            team.jobQuota = capacity(quotaProcessorsMilli ?: 0, quotaMemoryMib ?: 0, quotaAccelerators ?: 0)
        }
        return stub.putTeam(PutTeamRequest.newBuilder().setHeader(header).setTeam(team).build())
    }
}

internal fun capacity(processorsMilli: Int, memoryMib: Int, accelerators: Int): Capacity = Capacity
    .newBuilder()
    .setProcessorsMilli(processorsMilli.toLong())
    .setMemoryMib(memoryMib.toLong())
    .setAccelerators(accelerators)
    .build()

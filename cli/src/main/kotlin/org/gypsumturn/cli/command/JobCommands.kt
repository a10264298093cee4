// Subcommands that submit, show, list and cancel durable jobs.

package org.gypsumturn.cli.command

import com.google.protobuf.Message
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.delimiter
import kotlinx.cli.required
import org.gypsumturn.cli.client.CallKind
import org.gypsumturn.model.JobState
import org.gypsumturn.model.Priority
import org.gypsumturn.schema.admin.AdminGrpc.AdminBlockingStub
import org.gypsumturn.schema.admin.CancelJobsRequest
import org.gypsumturn.schema.admin.GetJobRequest
import org.gypsumturn.schema.admin.Job
import org.gypsumturn.schema.admin.ListJobsRequest
import org.gypsumturn.schema.admin.Mutating
import org.gypsumturn.schema.admin.SubmitJobRequest

private const val DEFAULT_PAGE_SIZE = 100
private const val DEFAULT_DECLARED_MILLIS = 60_000
private const val DEFAULT_PROCESSORS_MILLI = 1_000
private const val DEFAULT_MEMORY_MIB = 512

internal fun jobCommands() =
    CommandGroup("jobs", "durable jobs", listOf(SubmitJob(), GetJob(), ListJobs(), CancelJobs()))

private class SubmitJob : MutatingCommand("submit", "submit a job") {
    private val id by argument(ArgType.String, "id", "name of the job; a repeat with the same name has no effect")
    private val pool by option(ArgType.String, "pool", description = "pool whose workers run the job").required()
    private val team by option(ArgType.String, "team", description = "team that the job belongs to").required()
    private val jobClass by option(ArgType.String, "job-class", description = "class of similar jobs")
        .default("default")
    private val priority by option(PRIORITY_TYPE, "priority", description = "priority of the job")
        .default(Priority.NORMAL)
    private val processorsMilli by option(ArgType.Int, "processors-milli", description = "thousandths of a core")
        .default(DEFAULT_PROCESSORS_MILLI)
    private val memoryMib by option(ArgType.Int, "memory-mib", description = "mebibytes of memory")
        .default(DEFAULT_MEMORY_MIB)
    private val accelerators by option(ArgType.Int, "accelerators", description = "number of accelerators").default(0)
    private val declaredMillis by option(
        ArgType.Int,
        "declared-millis",
        description = "expected run time in milliseconds",
    )
        .default(DEFAULT_DECLARED_MILLIS)
    private val idempotent by option(ArgType.Boolean, "idempotent", description = "the job may be run more than once")
        .default(false)
    private val payload by option(ArgType.String, "payload", description = "input of the job").default("")

    override fun send(stub: AdminBlockingStub, header: Mutating): Message {
        val job =
            Job
                .newBuilder()
                .setId(id)
                .setPool(pool)
                .setTeam(team)
                .setJobClass(jobClass)
                .setPriority(priority.name)
                .setDeclared(capacity(processorsMilli, memoryMib, accelerators))
                .setDeclaredMillis(declaredMillis.toLong())
                .setIdempotent(idempotent)
                .setPayload(payload)
        return stub.submitJob(SubmitJobRequest.newBuilder().setHeader(header).setJob(job).build())
    }
}

private class GetJob : CallCommand("get", "show a job") {
    private val pool by argument(ArgType.String, "pool", "pool of the job")
    private val id by argument(ArgType.String, "id", "name of the job")

    override fun run(context: CallContext): Int {
        val request = GetJobRequest.newBuilder().setPool(pool).setId(id).build()
        return context.output.printResult(context.client.call(CallKind.READ) { it.getJob(request) }, null)
    }
}

private class ListJobs : CallCommand("list", "list the jobs of a pool") {
    private val pool by option(ArgType.String, "pool", description = "pool of the jobs").required()
    private val state by option(
        ArgType.Choice<JobState>({ JobState.valueOf(it.uppercase()) }, { it.name.lowercase() }),
        "state",
        description = "list only the jobs in this state",
    )
    private val after by option(ArgType.String, "after", description = "last job of the previous page").default("")
    private val limit by option(ArgType.Int, "limit", description = "most jobs in a page").default(DEFAULT_PAGE_SIZE)

    override fun run(context: CallContext): Int {
        val request =
            ListJobsRequest
                .newBuilder()
                .setPool(pool)
                .setState(state?.name.orEmpty())
                .setAfter(after)
                .setLimit(limit)
                .build()
        return context.output.printResult(context.client.call(CallKind.READ) { it.listJobs(request) }, null)
    }
}

private class CancelJobs : MutatingCommand("cancel", "cancel jobs of a pool") {
    private val pool by option(ArgType.String, "pool", description = "pool of the jobs").required()
    private val ids by option(ArgType.String, "ids", description = "names of jobs, separated by commas").delimiter(",")
    private val team by option(ArgType.String, "team", description = "cancel all unfinished jobs of this team")
        .default("")

    override fun send(stub: AdminBlockingStub, header: Mutating): Message = stub.cancelJobs(
        CancelJobsRequest
            .newBuilder()
            .setHeader(header)
            .setPool(pool)
            .addAllIds(ids)
            .setTeam(team)
            .build(),
    )
}

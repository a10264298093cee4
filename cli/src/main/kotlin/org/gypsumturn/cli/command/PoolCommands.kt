// Subcommands that list, create, replace and delete pools and change their availability budgets.

package org.gypsumturn.cli.command

import com.google.protobuf.Message
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.gypsumturn.model.PoolRole
import org.gypsumturn.schema.admin.AdminGrpc.AdminBlockingStub
import org.gypsumturn.schema.admin.DeleteRequest
import org.gypsumturn.schema.admin.ListPoolsRequest
import org.gypsumturn.schema.admin.Mutating
import org.gypsumturn.schema.admin.Pool
import org.gypsumturn.schema.admin.PutPoolRequest
import org.gypsumturn.schema.admin.SetBudgetRequest

internal fun poolCommands() = CommandGroup(
    "pools",
    "pools and their availability budgets",
    listOf(
        ReadCommand("list", "list all pools") { it.listPools(ListPoolsRequest.getDefaultInstance()) },
        PutPool(),
        IdCommand("delete", "delete a pool") { stub, header, id -> stub.deletePool(deleteRequest(header, id)) },
        SetBudget(),
    ),
)

internal fun deleteRequest(header: Mutating, id: String): DeleteRequest =
    DeleteRequest.newBuilder().setHeader(header).setId(id).build()

private class PutPool : MutatingCommand("put", "create or replace a pool") {
    private val id by argument(ArgType.String, "id", "name of the pool")
    private val role by option(
        ArgType.Choice<PoolRole>({ PoolRole.valueOf(it.uppercase()) }, { it.name.lowercase() }),
        "role",
        description = "purpose of the pool",
    ).default(PoolRole.SERVING)
    private val maxUnavailable by option(
        ArgType.Int,
        "max-unavailable",
        description = "instances that may be out of service at once",
    ).required()
    private val maxUnavailablePerDataCentre by option(
        ArgType.Int,
        "max-unavailable-per-data-centre",
        description = "planned absences in one data centre at once; 0: no limit",
    ).default(0)
    private val minInstances by option(
        ArgType.Int,
        "min-instances",
        description = "smallest number of instances",
    ).default(0)
    private val maxInstances by option(
        ArgType.Int,
        "max-instances",
        description = "largest number of instances; 0: no limit",
    ).default(0)

    override fun send(stub: AdminBlockingStub, header: Mutating): Message {
        val pool =
            Pool
                .newBuilder()
                .setId(id)
                .setRole(role.name)
                .setMaxUnavailable(maxUnavailable)
                .setMaxUnavailablePerDataCentre(maxUnavailablePerDataCentre)
                .setMinInstances(minInstances)
                .setMaxInstances(maxInstances)
        return stub.putPool(PutPoolRequest.newBuilder().setHeader(header).setPool(pool).build())
    }
}

private class SetBudget : MutatingCommand("set-budget", "change a pool's availability budget") {
    private val id by argument(ArgType.String, "id", "name of the pool")
    private val maxUnavailable by option(
        ArgType.Int,
        "max-unavailable",
        description = "instances that may be out of service at once",
    ).required()
    private val maxUnavailablePerDataCentre by option(
        ArgType.Int,
        "max-unavailable-per-data-centre",
        description = "planned absences in one data centre at once; 0: no limit",
    ).default(0)

    override fun send(stub: AdminBlockingStub, header: Mutating): Message = stub.setBudget(
        SetBudgetRequest
            .newBuilder()
            .setHeader(header)
            .setPool(id)
            .setMaxUnavailable(maxUnavailable)
            .setMaxUnavailablePerDataCentre(maxUnavailablePerDataCentre)
            .build(),
    )
}

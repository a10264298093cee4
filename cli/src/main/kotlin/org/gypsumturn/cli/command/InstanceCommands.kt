// Subcommands that list, add, remove, drain, reboot and move instances.

package org.gypsumturn.cli.command

import com.google.protobuf.Message
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.gypsumturn.cli.client.CallKind
import org.gypsumturn.schema.admin.AddInstanceRequest
import org.gypsumturn.schema.admin.AdminGrpc.AdminBlockingStub
import org.gypsumturn.schema.admin.FailureDomain
import org.gypsumturn.schema.admin.Instance
import org.gypsumturn.schema.admin.InstanceRequest
import org.gypsumturn.schema.admin.ListInstancesRequest
import org.gypsumturn.schema.admin.MoveInstanceRequest
import org.gypsumturn.schema.admin.Mutating

internal fun instanceCommands() = CommandGroup(
    "instances",
    "instances, which are executors or workers",
    listOf(
        ListInstances(),
        AddInstance(),
        IdCommand("remove", "remove an instance from its pool") { stub, header, id ->
            stub.removeInstance(deleteRequest(header, id))
        },
        IdCommand("drain", "take an instance out of service once it is idle") { stub, header, id ->
            stub.drainInstance(instanceRequest(header, id))
        },
        IdCommand("return", "return a drained instance to service") { stub, header, id ->
            stub.returnInstance(instanceRequest(header, id))
        },
        IdCommand("reboot", "drain an instance and reboot it") { stub, header, id ->
            stub.rebootInstance(instanceRequest(header, id))
        },
        MoveInstance(),
    ),
)

private fun instanceRequest(header: Mutating, id: String) =
    InstanceRequest.newBuilder().setHeader(header).setInstance(id).build()

private class ListInstances : CallCommand("list", "list instances") {
    private val pool by option(ArgType.String, "pool", description = "list only the instances of this pool").default("")

    override fun run(context: CallContext): Int {
        val request = ListInstancesRequest.newBuilder().setPool(pool).build()
        return context.output.printResult(context.client.call(CallKind.READ) { it.listInstances(request) }, null)
    }
}

private class AddInstance : MutatingCommand("add", "add an instance to a pool") {
    private val id by argument(ArgType.String, "id", "name of the instance")
    private val pool by option(ArgType.String, "pool", description = "pool that it joins").required()
    private val region by option(ArgType.String, "region", description = "region of the instance").required()
    private val dataCentre by option(
        ArgType.String,
        "data-centre",
        description = "data centre of the instance",
    ).required()
    private val rack by option(ArgType.String, "rack", description = "rack of the instance").required()
    private val host by option(ArgType.String, "host", description = "IP address of the instance").required()
    private val port by option(ArgType.Int, "port", description = "port of the instance; 0 for a worker").default(0)
    private val processorsMilli by option(
        ArgType.Int,
        "processors-milli",
        description = "thousandths of a core",
    ).required()
    private val memoryMib by option(ArgType.Int, "memory-mib", description = "mebibytes of memory").required()
    private val accelerators by option(ArgType.Int, "accelerators", description = "number of accelerators").default(0)
    private val slots by option(ArgType.Int, "slots", description = "most requests that it runs at once").default(0)
    private val connections by option(
        ArgType.Int,
        "connections",
        description = "most connections that it accepts",
    ).default(0)

    override fun send(stub: AdminBlockingStub, header: Mutating): Message {
        val domain = FailureDomain.newBuilder().setRegion(region).setDataCentre(dataCentre).setRack(rack)
        val instance =
            Instance
                .newBuilder()
                .setId(id)
                .setPool(pool)
                .setDomain(domain)
                .setHost(host)
                .setPort(port)
                .setCapacity(capacity(processorsMilli, memoryMib, accelerators))
                .setSlots(slots)
                .setConnections(connections)
        return stub.addInstance(AddInstanceRequest.newBuilder().setHeader(header).setInstance(instance).build())
    }
}

private class MoveInstance : MutatingCommand("move", "move an instance to another pool") {
    private val id by argument(ArgType.String, "id", "name of the instance")
    private val destination by option(ArgType.String, "destination", description = "pool that it joins").required()

    override fun send(stub: AdminBlockingStub, header: Mutating): Message = stub.moveInstance(
        MoveInstanceRequest
            .newBuilder()
            .setHeader(header)
            .setInstance(id)
            .setDestinationPool(destination)
            .build(),
    )
}

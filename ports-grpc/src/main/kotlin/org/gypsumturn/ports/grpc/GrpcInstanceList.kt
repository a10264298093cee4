// Implements the port to the instance list with gRPC calls to the platform.

package org.gypsumturn.ports.grpc

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.map
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.InstanceListing
import org.gypsumturn.schema.platform.InstancesGrpc
import org.gypsumturn.schema.platform.ListRequest
import org.gypsumturn.schema.platform.RebootRequest

internal class GrpcInstanceList(private val channel: PlatformChannel) : InstanceList {
    override fun list(timeoutMillis: Long): Verdict<InstanceListing> {
        val request = ListRequest.getDefaultInstance()
        return channel
            .call(InstancesGrpc::newBlockingStub, Effect.READS, timeoutMillis) { it.list(request) }
            .map { reply -> InstanceListing(reply.asOfMillis, reply.instancesList.map { it.toListedInstance() }) }
    }

    override fun reboot(instance: InstanceId, timeoutMillis: Long): Verdict<Unit> {
        val request = RebootRequest.newBuilder().setInstance(instance.value).build()
        return channel
            .call(InstancesGrpc::newBlockingStub, Effect.WRITES, timeoutMillis) { it.reboot(request) }
            .map { }
    }
}

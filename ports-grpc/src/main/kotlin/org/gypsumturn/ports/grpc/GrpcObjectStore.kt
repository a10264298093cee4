// Implements the port to the object store with gRPC calls to the platform.

package org.gypsumturn.ports.grpc

import com.google.protobuf.ByteString
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.map
import org.gypsumturn.ports.ObjectName
import org.gypsumturn.ports.ObjectStore
import org.gypsumturn.schema.platform.GetObjectRequest
import org.gypsumturn.schema.platform.ObjectsGrpc
import org.gypsumturn.schema.platform.PutObjectRequest
import org.gypsumturn.schema.platform.RemoveObjectRequest

internal class GrpcObjectStore(private val channel: PlatformChannel) : ObjectStore {
    override fun put(name: ObjectName, bytes: ByteArray, timeoutMillis: Long): Verdict<Unit> {
        val request =
            PutObjectRequest
                .newBuilder()
                .setName(name.value)
                .setContent(ByteString.copyFrom(bytes))
                .build()
        return channel
            .call(ObjectsGrpc::newBlockingStub, Effect.WRITES, timeoutMillis) { it.put(request) }
            .map { }
    }

    override fun get(name: ObjectName, timeoutMillis: Long): Verdict<ByteArray?> {
        val request = GetObjectRequest.newBuilder().setName(name.value).build()
        return channel
            .call(ObjectsGrpc::newBlockingStub, Effect.READS, timeoutMillis) { it.get(request) }
            .map { reply -> if (reply.present) reply.content.toByteArray() else null }
    }

    override fun remove(name: ObjectName, timeoutMillis: Long): Verdict<Unit> {
        val request = RemoveObjectRequest.newBuilder().setName(name.value).build()
        return channel
            .call(ObjectsGrpc::newBlockingStub, Effect.WRITES, timeoutMillis) { it.remove(request) }
            .map { }
    }
}

// Implements the port to the table with gRPC calls to the platform.

package org.gypsumturn.ports.grpc

import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.map
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.schema.platform.ReadRequest
import org.gypsumturn.schema.platform.ScanRequest
import org.gypsumturn.schema.platform.TableGrpc

internal class GrpcTableStore(private val channel: PlatformChannel) : TableStore {
    override fun read(keys: List<RowKey>, timeoutMillis: Long): Verdict<List<Row>> {
        val request = ReadRequest.newBuilder().addAllKeys(keys.map { it.value }).build()
        return channel
            .call(TableGrpc::newBlockingStub, Effect.READS, timeoutMillis) { it.read(request) }
            .map { reply -> reply.rowsList.map { it.toRow() } }
    }

    override fun scan(prefix: String, after: RowKey?, limit: Int, timeoutMillis: Long): Verdict<List<Row>> {
        val request =
            ScanRequest
                .newBuilder()
                .setPrefix(prefix)
                .setAfter(after?.value.orEmpty())
                .setLimit(limit)
                .build()
        return channel
            .call(TableGrpc::newBlockingStub, Effect.READS, timeoutMillis) { it.scan(request) }
            .map { reply -> reply.rowsList.map { it.toRow() } }
    }

    override fun commit(transaction: Transaction, timeoutMillis: Long): Verdict<CommitOutcome> {
        val request = transaction.toProto()
        return channel
            .call(TableGrpc::newBlockingStub, Effect.WRITES, timeoutMillis) { it.commit(request) }
            .map { reply ->
                if (reply.committed) {
                    CommitOutcome.Committed(Revision(reply.revision))
                } else {
                    CommitOutcome.Conflict(reply.changedList.map { it.toRow() })
                }
            }
    }
}

// Client of the platform. It implements the four ports with gRPC calls over one shared channel.

package org.gypsumturn.ports.grpc

import org.gypsumturn.model.Address
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.ObjectStore
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.WorkerTasks

/**
 * Client of the platform at [address]. Thread-safe. It connects on the first call and reconnects when necessary.
 *
 * A call gives [Verdict.NotRun][org.gypsumturn.model.Verdict.NotRun] if it fails before any part of it was handed to a
 * connection, if the platform refuses it, or if it only reads. Any other failed call gives
 * [Verdict.MayHaveRun][org.gypsumturn.model.Verdict.MayHaveRun].
 */
public class PlatformClient(address: Address) : AutoCloseable {
    private val channel = PlatformChannel(address)

    /** The transactional table. */
    public val table: TableStore = GrpcTableStore(channel)

    /** The object store. */
    public val objects: ObjectStore = GrpcObjectStore(channel)

    /** The instance list. */
    public val instances: InstanceList = GrpcInstanceList(channel)

    /** The workers' task interface. */
    public val tasks: WorkerTasks = GrpcWorkerTasks(channel)

    /** Number of channels opened so far. It increases when a call misses its deadline and its channel is replaced. */
    public val openedChannels: Int get() = channel.openedChannels

    override fun close() {
        channel.close()
    }
}

// Client of the platform: the four ports over gRPC.

package org.gypsumturn.ports.grpc

import org.gypsumturn.model.Address
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.ObjectStore
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.WorkerTasks

/**
 * The platform at [address]. Thread-safe; it connects on the first call and again whenever it has to.
 *
 * A call that fails before any part of it was handed to a connection is a not-run verdict, as is a refusal by the
 * platform itself. Every other failed write may have run.
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

    /** Number of channels opened so far; it grows when a call misses its deadline. */
    public val openedChannels: Int get() = channel.openedChannels

    override fun close() {
        channel.close()
    }
}

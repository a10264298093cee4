// The stored row that lists the machines with recent orders. A lease holder stores a machine there before it sends the
// first order for it. The next holder gives no orders for these machines for a while, and may order all others at once.

package org.gypsumturn.node

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.state.JobRows

private val serializer = ListSerializer(String.serializer())

/** Address and encoding of the row that lists the machines with recent orders. */
public object OrderedMachineRow {
    /** The row is in the partition of the waves, so that a new holder reads it together with them. */
    public val ADDRESS: RowAddress = RowAddress(WaveRows.TABLE, JobRows.PROGRESS_PARTITION, "ordered")

    /** Encodes [machines] as the value of the row. */
    public fun encode(machines: Collection<MachineId>): ByteArray =
        Json.encodeToString(serializer, machines.map { it.value }).encodeToByteArray()

    /** Decodes the value of the row; throws [IllegalArgumentException] if [bytes] are not an encoded list. */
    public fun decode(bytes: ByteArray): Set<MachineId> =
        Json.decodeFromString(serializer, bytes.decodeToString()).mapTo(HashSet()) { MachineId(it) }
}

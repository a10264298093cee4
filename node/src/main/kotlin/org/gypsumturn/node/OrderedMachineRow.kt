// The row that names the machines under orders. A holder stores it before it sends an order, so that the next holder
// knows which machines it has to leave alone for a while, and can order all others at once.

package org.gypsumturn.node

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.state.JobRows

private val serializer = ListSerializer(String.serializer())

/** The row of machines under orders. */
public object OrderedMachineRow {
    /** It stands beside the waves and is read with them. */
    public val ADDRESS: RowAddress = RowAddress(WaveRows.TABLE, JobRows.PROGRESS_PARTITION, "ordered")

    /** [machines] as bytes. */
    public fun encode(machines: Collection<MachineId>): ByteArray =
        Json.encodeToString(serializer, machines.map { it.value }).encodeToByteArray()

    /** The machines that [bytes] name; throws [IllegalArgumentException] where they name none. */
    public fun decode(bytes: ByteArray): Set<MachineId> =
        Json.decodeFromString(serializer, bytes.decodeToString()).mapTo(HashSet()) { MachineId(it) }
}

// The stored rows that list the machines with recent orders and the executors that the orders were to end. A lease
// holder stores them there before it sends an order. The next holder gives no orders for these machines for a while,
// and may order all others at once. It takes an executor for ended once the list of machines shows another one in its
// place.

package org.gypsumturn.node

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.InstanceId

private val serializer = ListSerializer(String.serializer())
private val executorsSerializer = MapSerializer(String.serializer(), String.serializer())

/** Addresses and encoding of the rows that list the machines with recent orders, and the executors on them. */
public object OrderedMachineRow {
    /** The row is in the partition of the waves, so that a new holder reads it together with them. */
    public val ADDRESS: RowAddress = RowAddress(WaveRows.TABLE, JobRows.PROGRESS_PARTITION, "ordered")

    /** The row of the executors; in the same partition. */
    public val EXECUTORS_ADDRESS: RowAddress =
        RowAddress(WaveRows.TABLE, JobRows.PROGRESS_PARTITION, "ordered-executors")

    /** Encodes [machines] as the value of the row. */
    public fun encode(machines: Collection<MachineId>): ByteArray =
        Json.encodeToString(serializer, machines.map { it.value }).encodeToByteArray()

    /** Decodes the value of the row; throws [IllegalArgumentException] if [bytes] are not an encoded list. */
    public fun decode(bytes: ByteArray): Set<MachineId> =
        Json.decodeFromString(serializer, bytes.decodeToString()).mapTo(HashSet()) { MachineId(it) }

    /** Encodes the machines of executors as the value of the row at [EXECUTORS_ADDRESS]. */
    public fun encodeExecutors(machineByExecutor: Map<InstanceId, MachineId>): ByteArray {
        val names = machineByExecutor.entries.associate { (executor, machine) -> executor.value to machine.value }
        return Json.encodeToString(executorsSerializer, names).encodeToByteArray()
    }

    /** Decodes the machines of executors; throws [IllegalArgumentException] if [bytes] do not hold them. */
    public fun decodeExecutors(bytes: ByteArray): Map<InstanceId, MachineId> =
        Json.decodeFromString(executorsSerializer, bytes.decodeToString()).entries
            .associate { (executor, machine) -> InstanceId(executor) to MachineId(machine) }
}

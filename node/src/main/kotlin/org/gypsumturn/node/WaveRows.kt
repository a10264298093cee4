// Addresses and encoding of the stored rows of waves. A row lists the machines of a wave that have been taken down, so
// that a new lease holder continues the wave from there.

package org.gypsumturn.node

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.machines.WaveReport
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.state.JobRows

/** Addresses and encoding of the rows of waves. */
public object WaveRows {
    /** Table of waves; it also holds [OrderedMachineRow]. */
    public const val TABLE: String = "waves"

    @Serializable
    private class WaveRecord(val done: List<String>, val completed: Boolean)

    /** Address of the row of wave [number]. */
    public fun address(number: Long): RowAddress = RowAddress(TABLE, JobRows.PROGRESS_PARTITION, number.toString())

    /** Encodes [report] as the value of its row. */
    public fun encode(report: WaveReport): ByteArray {
        val record = WaveRecord(report.done.map { it.value }, report.completed)
        return Json.encodeToString(WaveRecord.serializer(), record).encodeToByteArray()
    }

    /** Decodes the report of wave [number]; throws [IllegalArgumentException] if [bytes] are not an encoded report. */
    public fun decode(number: Long, bytes: ByteArray): WaveReport {
        val record = Json.decodeFromString(WaveRecord.serializer(), bytes.decodeToString())
        return WaveReport(number, record.done.mapTo(HashSet()) { MachineId(it) }, record.completed)
    }
}

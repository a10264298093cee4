// Which machines of a wave have been taken down, as it lasts in the store: another holder goes on from there.

package org.gypsumturn.node

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.machines.WaveReport
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.state.JobRows

/** Rows of waves. */
public object WaveRows {
    /** Table of waves. */
    public const val TABLE: String = "waves"

    @Serializable
    private class WaveRecord(val done: List<String>, val completed: Boolean)

    /** The row of wave [number]. */
    public fun address(number: Long): RowAddress = RowAddress(TABLE, JobRows.PROGRESS_PARTITION, number.toString())

    /** [report] as bytes. */
    public fun encode(report: WaveReport): ByteArray {
        val record = WaveRecord(report.done.map { it.value }, report.completed)
        return Json.encodeToString(WaveRecord.serializer(), record).encodeToByteArray()
    }

    /** The report of wave [number] that [bytes] hold; throws [IllegalArgumentException] where they hold none. */
    public fun decode(number: Long, bytes: ByteArray): WaveReport {
        val record = Json.decodeFromString(WaveRecord.serializer(), bytes.decodeToString())
        return WaveReport(number, record.done.mapTo(HashSet()) { MachineId(it) }, record.completed)
    }
}

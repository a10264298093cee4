// Where jobs and their cancellations lie in the store. Jobs spread over partitions, since a partition takes
// transactions one after another; progress lies with the lease, whose owner row fences it.

package org.gypsumturn.batch.state

import kotlinx.serialization.json.Json
import org.gypsumturn.batch.lease.ControlRows
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.model.JobId

private val json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** Rows of jobs. */
public object JobRows {
    /** Table of jobs and cancellations. */
    public const val TABLE: String = "jobs"

    /** Table of progress. */
    public const val PROGRESS_TABLE: String = "progress"

    /** Partitions of [TABLE]: with a transaction of 8 ms each takes about 125 a second. */
    public const val PARTITIONS: Int = 8

    private const val CANCEL_SUFFIX = "/cancel"

    /** Names of all partitions of [TABLE]. */
    public val partitions: List<String> = (0 until PARTITIONS).map { "jobs-$it" }

    /** The partition of a job. */
    public fun partition(id: JobId): String = partitions[Math.floorMod(id.value.hashCode(), PARTITIONS)]

    /** The row of a job. */
    public fun job(id: JobId): RowAddress = RowAddress(TABLE, partition(id), id.value)

    /** The row of a job's cancellation. */
    public fun cancellation(id: JobId): RowAddress = RowAddress(TABLE, partition(id), id.value + CANCEL_SUFFIX)

    /** The row of a job's progress. */
    public fun progress(id: JobId): RowAddress = RowAddress(PROGRESS_TABLE, ControlRows.PARTITION, id.value)

    /** The job whose cancellation [address] is, or null. */
    public fun cancelledJob(address: RowAddress): JobId? =
        if (address.key.endsWith(CANCEL_SUFFIX)) JobId(address.key.removeSuffix(CANCEL_SUFFIX)) else null

    /** [job] as bytes. */
    public fun encode(job: BatchJob): ByteArray = json.encodeToString(BatchJob.serializer(), job).encodeToByteArray()

    /** The job that [bytes] hold; throws [IllegalArgumentException] where they hold none. */
    public fun decode(bytes: ByteArray): BatchJob = json.decodeFromString(BatchJob.serializer(), bytes.decodeToString())
}

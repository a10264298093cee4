// Where jobs and their cancellations lie in the store. Each node has a partition that it writes to, since a partition
// takes transactions one after another; a job is known by its id, wherever its row lies. Progress has a partition of
// its own with a fence row, which a new holder of the control lease rewrites before it reads, so that writes of an
// earlier one fail.

package org.gypsumturn.batch.state

import kotlinx.serialization.json.Json
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

    /** Partitions of [TABLE]; each takes about 125 transactions of 8 ms a second. */
    public const val PARTITIONS: Int = 8

    private const val CANCEL_SUFFIX = "/cancel"

    /** Partition of progress and of waves. */
    public const val PROGRESS_PARTITION: String = "progress"

    /** Row that fences writes to [PROGRESS_PARTITION]; it holds the epoch. */
    public val FENCE: RowAddress = RowAddress("fence", PROGRESS_PARTITION, "holder")

    /** Names of all partitions of [TABLE]. */
    public val partitions: List<String> = (0 until PARTITIONS).map { "jobs-$it" }

    /** The partition that [node] writes to. */
    public fun partitionOf(node: String): String = partitions[Math.floorMod(node.hashCode(), PARTITIONS)]

    /** The row of a job in [partition]. */
    public fun job(id: JobId, partition: String): RowAddress = RowAddress(TABLE, partition, id.value)

    /** The row of a job's cancellation in [partition]. */
    public fun cancellation(id: JobId, partition: String): RowAddress =
        RowAddress(TABLE, partition, id.value + CANCEL_SUFFIX)

    /** The row of a job's progress. */
    public fun progress(id: JobId): RowAddress = RowAddress(PROGRESS_TABLE, PROGRESS_PARTITION, id.value)

    /** The job whose cancellation [address] is, or null. */
    public fun cancelledJob(address: RowAddress): JobId? =
        if (address.key.endsWith(CANCEL_SUFFIX)) JobId(address.key.removeSuffix(CANCEL_SUFFIX)) else null

    /** [job] as bytes. */
    public fun encode(job: BatchJob): ByteArray = json.encodeToString(BatchJob.serializer(), job).encodeToByteArray()

    /** The job that [bytes] hold; throws [IllegalArgumentException] where they hold none. */
    public fun decode(bytes: ByteArray): BatchJob = json.decodeFromString(BatchJob.serializer(), bytes.decodeToString())
}

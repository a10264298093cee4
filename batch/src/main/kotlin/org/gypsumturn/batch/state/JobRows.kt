// Addresses and encoding of the stored rows of jobs, of their cancellations and of their progress. Each node writes
// jobs to a partition of its own, since a partition processes transactions one after another; a job is identified by
// its id in whichever partition its row is. Progress is in a separate partition with a fence row. A new holder of the
// control lease rewrites the fence row before it reads, so that writes of an earlier holder fail.

package org.gypsumturn.batch.state

import kotlinx.serialization.json.Json
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.model.JobId
import java.security.MessageDigest
import java.util.HexFormat

private val json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** Addresses and encoding of the rows of jobs. */
public object JobRows {
    /** Table of jobs and their cancellations. */
    public const val TABLE: String = "jobs"

    /** Table of the progress of jobs. */
    public const val PROGRESS_TABLE: String = "progress"

    /** Number of partitions of [TABLE]. Each handles about 125 transactions of 8 ms per second. */
    public const val PARTITIONS: Int = 8

    private const val CANCEL_SUFFIX = "/cancel"

    /** Bytes of the digest that tells the cancellations of different callers apart. */
    private const val CALLER_DIGEST_BYTES = 16

    /** Partition of the progress of jobs and of waves. */
    public const val PROGRESS_PARTITION: String = "progress"

    /** Row that fences writes to [PROGRESS_PARTITION]. It holds the epoch of the holder. */
    public val FENCE: RowAddress = RowAddress("fence", PROGRESS_PARTITION, "holder")

    /** Names of all partitions of [TABLE]. */
    public val partitions: List<String> = (0 until PARTITIONS).map { "jobs-$it" }

    /** Partition to which [node] writes jobs. */
    public fun partitionOf(node: String): String = partitions[Math.floorMod(node.hashCode(), PARTITIONS)]

    /** Address of the row of job [id] in [partition]. */
    public fun job(id: JobId, partition: String): RowAddress = RowAddress(TABLE, partition, id.value)

    /**
     * Address of the row of the cancellation of job [id] in [partition]. Each [caller] for which the cancellation is
     * conditional has a row of its own, so that no caller can overwrite the cancellation of another one.
     */
    public fun cancellation(id: JobId, partition: String, caller: CancellationCaller? = null): RowAddress {
        val suffix = caller?.let { "/" + digestOf(it) }.orEmpty()
        return RowAddress(TABLE, partition, id.value + CANCEL_SUFFIX + suffix)
    }

    private fun digestOf(caller: CancellationCaller): String {
        val digest = MessageDigest.getInstance("SHA-256").digest(json.encodeToString(caller).encodeToByteArray())
        return HexFormat.of().formatHex(digest, 0, CALLER_DIGEST_BYTES)
    }

    /** Address of the row of the progress of job [id]. */
    public fun progress(id: JobId): RowAddress = RowAddress(PROGRESS_TABLE, PROGRESS_PARTITION, id.value)

    /** The job whose cancellation is stored at [address], or null if that is no address of a cancellation. */
    public fun cancelledJob(address: RowAddress): JobId? =
        if (CANCEL_SUFFIX in address.key) JobId(address.key.substringBefore(CANCEL_SUFFIX)) else null

    /** Encodes [job] as the value of its row. */
    public fun encode(job: BatchJob): ByteArray = json.encodeToString(BatchJob.serializer(), job).encodeToByteArray()

    /** Decodes a job from the value of its row; throws [IllegalArgumentException] if [bytes] are not an encoded job. */
    public fun decode(bytes: ByteArray): BatchJob = json.decodeFromString(BatchJob.serializer(), bytes.decodeToString())
}

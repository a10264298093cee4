// Stored record of a pool: the executors on which holders of the control lease may have started tasks, and the queues
// whose tasks they may have started there. Both are stored before the first such start. A new holder waits for these
// executors, whether or not they are in the registry: an entry may lapse while its executor and the runs on it go on.
// The queues of the pool that have unfinished jobs are stored in full, since a configuration may remove them. The
// machines of the executors are stored as well: the list of machines names no executor on a machine that is down, so
// that a new holder could not tell from it which executors have ended.

package org.gypsumturn.batch.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.model.PoolId

private val json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/**
 * Executors and queues of one pool.
 *
 * @property addresses addresses of the executors, by their ids
 * @property queues ids of the queues
 * @property queueRecords records of queues with unfinished jobs, by their ids; absent in rows of older versions
 * @property machines ids of the machines of the executors, by the executors' ids. An executor is missing until the list
 * of machines has shown it, and all are in rows of older versions
 */
@Serializable
public data class PoolRoster(
    public val addresses: Map<String, String> = emptyMap(),
    public val queues: Set<String> = emptySet(),
    public val queueRecords: Map<String, QueueRecord> = emptyMap(),
    public val machines: Map<String, String> = emptyMap(),
) {
    /** Encodes the roster as the value of its row. */
    public fun encode(): ByteArray = json.encodeToString(serializer(), this).encodeToByteArray()

    public companion object {
        /** Table of the rosters. They are in the partition of the progress, so that the same row fences them. */
        public const val TABLE: String = "rosters"

        /** Address of the row of the roster of [pool]. */
        public fun address(pool: PoolId): RowAddress = RowAddress(TABLE, JobRows.PROGRESS_PARTITION, pool.value)

        /**
         * Decodes a roster from the value of its row; throws [IllegalArgumentException] if [bytes] are not an encoded
         * roster.
         */
        public fun decode(bytes: ByteArray): PoolRoster = json.decodeFromString(serializer(), bytes.decodeToString())
    }
}

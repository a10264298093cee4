// Keys and contents of the table rows for jobs. Open jobs are under `job/` and ended jobs under `done/`, so an owner
// that takes over a pool reads only open jobs. A notice under `inbox/` tells the owner of a bucket about changes.

package org.gypsumturn.jobs

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.TeamId
import org.gypsumturn.placement.bucketOf
import org.gypsumturn.ports.RowKey

/** The owner of a pool. A process whose epoch differs from the recorded one no longer owns the pool. */
@Serializable
internal data class OwnerRecord(val node: NodeId, val epoch: Epoch)

/**
 * Notice to the owner of [pool] that another process has added, changed or ended jobs.
 *
 * @property ids jobs whose rows the owner has to read
 * @property changed true if the rows of [ids] were changed, false if they are new
 * @property ended jobs that were ended while they were waiting
 */
@Serializable
internal data class InboxNotice(
    val pool: PoolId,
    val ids: List<JobId>,
    val changed: Boolean = false,
    val ended: List<JobId> = emptyList(),
)

/** Capacity that the jobs of each team held in the pools of the owner [node] at [atMillis]. */
@Serializable
internal data class UsageRecord(val node: NodeId, val atMillis: Long, val held: Map<TeamId, Capacity>)

/** Builds row keys, and encodes and decodes row contents. */
internal object JobRows {
    private val json = Json { encodeDefaults = false }

    /** Key prefix of the open jobs of [pool]. */
    fun openPrefix(pool: PoolId): String = "job/$pool/"

    /** Key prefix of the ended jobs of [pool]. */
    fun donePrefix(pool: PoolId): String = "done/$pool/"

    fun open(pool: PoolId, id: JobId): RowKey = RowKey("job/$pool/$id")

    fun done(pool: PoolId, id: JobId): RowKey = RowKey("done/$pool/$id")

    fun owner(pool: PoolId): RowKey = RowKey("owner/$pool")

    const val USAGE_PREFIX = "usage/"

    fun usage(node: NodeId): RowKey = RowKey("$USAGE_PREFIX$node")

    fun inboxPrefix(bucket: Int): String = "inbox/${bucket.toString().padStart(2, '0')}/"

    /** Key of a notice whose first job is [first]. [kind] separates notices with different causes. */
    fun inbox(pool: PoolId, kind: String, first: JobId): RowKey =
        RowKey("${inboxPrefix(bucketOf(pool))}$pool/$kind/$first")

    fun encode(record: JobRecord): String = json.encodeToString(record)

    fun decodeJob(text: String): JobRecord = json.decodeFromString(text)

    fun encode(record: OwnerRecord): String = json.encodeToString(record)

    fun decodeOwner(text: String): OwnerRecord = json.decodeFromString(text)

    fun encode(record: UsageRecord): String = json.encodeToString(record)

    fun decodeUsage(text: String): UsageRecord = json.decodeFromString(text)

    fun encode(notice: InboxNotice): String = json.encodeToString(notice)

    fun decodeNotice(text: String): InboxNotice = json.decodeFromString(text)
}

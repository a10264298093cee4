// Rows of the table that concern jobs. Unfinished jobs stand under `job/`, ended ones under `done/`, so an owner that
// takes a pool over reads only what is unfinished. A notice under `inbox/` tells the owner of a bucket what changed.

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

/** Holder of a pool's jobs. A writer whose epoch is not the recorded one has lost the pool. */
@Serializable
internal data class OwnerRecord(val node: NodeId, val epoch: Epoch)

/**
 * Tells an owner what another process did to jobs of [pool].
 *
 * @property ids jobs whose rows the owner must read
 * @property changed whether the rows changed, as opposed to being new
 * @property ended jobs that ended while they waited
 */
@Serializable
internal data class InboxNotice(
    val pool: PoolId,
    val ids: List<JobId>,
    val changed: Boolean = false,
    val ended: List<JobId> = emptyList(),
)

/** What teams held with the owner [node] at [atMillis]. */
@Serializable
internal data class UsageRecord(val node: NodeId, val atMillis: Long, val held: Map<TeamId, Capacity>)

/** Keys and texts of the rows. */
internal object JobRows {
    private val json = Json { encodeDefaults = false }

    /** Prefix of the unfinished jobs of [pool]. */
    fun openPrefix(pool: PoolId): String = "job/$pool/"

    /** Prefix of the ended jobs of [pool]. */
    fun donePrefix(pool: PoolId): String = "done/$pool/"

    fun open(pool: PoolId, id: JobId): RowKey = RowKey("job/$pool/$id")

    fun done(pool: PoolId, id: JobId): RowKey = RowKey("done/$pool/$id")

    fun owner(pool: PoolId): RowKey = RowKey("owner/$pool")

    const val USAGE_PREFIX = "usage/"

    fun usage(node: NodeId): RowKey = RowKey("$USAGE_PREFIX$node")

    fun inboxPrefix(bucket: Int): String = "inbox/${bucket.toString().padStart(2, '0')}/"

    /** Key of a notice about [first] and others; [kind] keeps notices of different causes apart. */
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

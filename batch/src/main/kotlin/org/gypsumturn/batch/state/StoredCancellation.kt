// Stored cancellation of a job. A caller may cancel a job whose row is still being written, so that the node can't look
// up whose job it is. Such a cancellation names the caller, and whoever reads the job later checks whether it applies.

package org.gypsumturn.batch.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.model.WorkspaceId

private val json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/**
 * The caller who cancelled a job that was not found.
 *
 * @property queue identity of the queue that the request was for
 * @property workspace workspace of the caller; null where the queue is public or there are no workspaces
 */
@Serializable
public data class CancellationCaller(public val queue: String, public val workspace: WorkspaceId? = null) {
    public constructor(queue: Queue, workspace: WorkspaceId?) : this(queue.id.value, workspace)
}

/**
 * Content of the row of a cancellation.
 *
 * @property caller the caller who must be allowed to cancel the job; null if the node has checked that before it stored
 * the row
 */
@Serializable
public data class StoredCancellation(public val caller: CancellationCaller? = null) {
    /**
     * Whether the cancellation applies to [job]: it was checked already, the job belongs to no workspace, or it belongs
     * to the caller's workspace. A caller without a workspace can cancel jobs only of the queue that the request was
     * for, which may have become public after the job was submitted.
     */
    public fun appliesTo(job: BatchJob): Boolean = when {
        caller == null || job.workspace == null -> true
        caller.workspace == null -> job.queue == QueueId(caller.queue)
        else -> job.workspace == caller.workspace
    }

    /** Encodes the cancellation as the value of its row. */
    public fun encode(): ByteArray = json.encodeToString(serializer(), this).encodeToByteArray()

    public companion object {
        /** A cancellation that applies to the job with its id, whoever submitted it. */
        public val CHECKED: StoredCancellation = StoredCancellation()

        /**
         * Decodes a cancellation from the value of its row; throws [IllegalArgumentException] if [bytes] are not an
         * encoded cancellation.
         */
        public fun decode(bytes: ByteArray): StoredCancellation =
            json.decodeFromString(serializer(), bytes.decodeToString())
    }
}

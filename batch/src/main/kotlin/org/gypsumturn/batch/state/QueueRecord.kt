// Stored record of a queue that has unfinished jobs. A configuration may remove the queue before its jobs have ended,
// and a holder that begins after that knows only the newest configuration.

package org.gypsumturn.batch.state

import kotlinx.serialization.Serializable
import org.gypsumturn.batch.model.AdvisorTiming
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.model.PoolId

/**
 * What running the jobs of a queue takes. The properties without a description are those of [Queue].
 *
 * @property sinceVersion version of the configuration since which the queue has been like this
 */
@Serializable
public data class QueueRecord(
    public val sinceVersion: Long,
    public val pool: String,
    public val priority: Int = 0,
    public val maxAttempts: Int = 1,
    public val stretch: Double = 1.0,
    public val targetDurationMillis: Long = 0,
    public val advice: AdvisorTiming? = null,
) {
    /** The queue with this record and [id]. Callers can't use it, so that it has no time limit for them. */
    public fun toQueue(id: QueueId): Queue {
        val host = id.value.substringBefore('/')
        val pathPrefix = id.value.removePrefix(host)
        return Queue(
            id,
            host,
            pathPrefix,
            PoolId(pool),
            priority,
            maxAttempts,
            stretch,
            targetDurationMillis,
            0,
            advice,
        )
    }

    public companion object {
        /** The record of [queue], which the configuration of [version] has. */
        public fun of(queue: Queue, version: Long): QueueRecord = QueueRecord(
            version,
            queue.pool.value,
            queue.priority,
            queue.maxAttempts,
            queue.stretch,
            queue.targetDurationMillis,
            queue.advice,
        )
    }
}

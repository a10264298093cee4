// The queues whose jobs the holder runs: those of the newest configuration, and those that it has removed while they
// had unfinished jobs. The latter are known from earlier configurations of the same term, or from the stored rosters.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.batch.state.PoolRoster
import org.gypsumturn.batch.state.QueueRecord

/** Queues by id, each as the newest known configuration that has it. */
internal class KnownQueues {
    private val queues = HashMap<QueueId, Queue>()
    private val mutableRecords = HashMap<QueueId, QueueRecord>()

    val values: Collection<Queue> get() = queues.values

    /** What is to be stored of each queue while it has unfinished jobs. */
    val records: Map<QueueId, QueueRecord> get() = mutableRecords

    operator fun get(id: QueueId): Queue? = queues[id]

    /** Takes over the queues of [configuration]. Queues that it does not have stay known. */
    fun applyConfiguration(configuration: FleetConfiguration) {
        configuration.queues.forEach { queue ->
            val record = QueueRecord.of(queue, configuration.version)
            val known = mutableRecords[queue.id]
            if (known != null && known.sinceVersion > record.sinceVersion) return@forEach
            queues[queue.id] = queue
            if (known == null || !known.hasSettingsOf(record)) mutableRecords[queue.id] = record
        }
    }

    /** Takes over the queues that earlier holders have stored in [rosters], where these are newer than those known. */
    fun applyStored(rosters: Collection<PoolRoster>) {
        rosters.flatMap { it.queueRecords.entries }.forEach { (value, record) ->
            val id = QueueId(value)
            val known = mutableRecords[id]
            if (known == null || known.sinceVersion < record.sinceVersion) queues[id] = record.toQueue(id)
            if (known == null || known.sinceVersion < record.sinceVersion || known.hasSettingsOf(record)) {
                mutableRecords[id] = record
            }
        }
    }

    private fun QueueRecord.hasSettingsOf(other: QueueRecord) = copy(sinceVersion = other.sinceVersion) == other
}

// Reboots drained instances through the platform. A row of the table records the boot count that an instance had before
// its reboot was requested, so that any process that continues the work can tell whether the instance has rebooted.

package org.gypsumturn.control.fleet

import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.Condition
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.InstanceListing
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write
import org.slf4j.LoggerFactory

/**
 * Requests reboots and detects their completion. Each call to the table or the platform blocks for up to
 * [timeoutMillis]. Not thread-safe.
 */
internal class Rebooter(
    private val table: TableStore,
    private val instanceList: InstanceList,
    private val timeoutMillis: Long,
) {
    private val requestedAtMillis = HashMap<InstanceId, Long>()

    /**
     * Returns whether [instance] has rebooted according to [listing]. Until then, each call takes the next step: it
     * records the boot count, or requests the reboot if no recent request is known to this process.
     */
    fun ensureRebooted(nowMillis: Long, instance: Instance, listing: InstanceListing): Boolean {
        val bootCount = listing.instances.firstOrNull { it.id == instance.id }?.bootCount
        val key = RowKey("reboot/${instance.id}")
        val row = table.read(listOf(key), timeoutMillis).valueOrNull()?.single() ?: return false
        val recorded = row.value?.let(::decodeBootCount)
        return when {
            recorded == null || recorded.drainVersion != drainVersionOf(instance) -> {
                if (bootCount != null) saveRow(key, row.revision, BootCountRow(drainVersionOf(instance), bootCount))
                false
            }

            bootCount != null && bootCount > recorded.bootCount -> {
                requestedAtMillis.remove(instance.id)
                true
            }

            else -> {
                requestReboot(nowMillis, instance.id)
                false
            }
        }
    }

    private fun drainVersionOf(instance: Instance): Long = instance.reservation?.drainVersion?.value ?: 0

    private fun saveRow(key: RowKey, revision: Revision, row: BootCountRow) {
        val write = Write(key, "${row.drainVersion} ${row.bootCount}")
        val result = table.commit(Transaction(listOf(Condition(key, revision)), listOf(write)), timeoutMillis)
        if (result !is Verdict.Ran) LOG.info("could not record the boot count in row {}, will retry: {}", key, result)
    }

    // Repeats a request only after a long time, since the platform may have accepted the first one and be slow.
    private fun requestReboot(nowMillis: Long, instance: InstanceId) {
        val requestedAt = requestedAtMillis[instance]
        if (requestedAt != null && nowMillis - requestedAt < REBOOT_RETRY_MILLIS) return
        requestedAtMillis[instance] = nowMillis
        val result = instanceList.reboot(instance, timeoutMillis)
        LOG.info("requested reboot of instance {}; result: {}", instance, result)
        if (result is Verdict.NotRun) requestedAtMillis.remove(instance)
    }

    private fun decodeBootCount(value: String): BootCountRow? {
        val parts = value.split(' ').mapNotNull { it.toLongOrNull() }
        return if (parts.size == 2) BootCountRow(parts[0], parts[1]) else null
    }

    private data class BootCountRow(val drainVersion: Long, val bootCount: Long)

    private companion object {
        const val REBOOT_RETRY_MILLIS = 60_000L
        val LOG = LoggerFactory.getLogger(Rebooter::class.java)
    }
}

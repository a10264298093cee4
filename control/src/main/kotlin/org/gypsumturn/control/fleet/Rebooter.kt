// Reboots drained instances through the platform. A row records the boot count that an instance had when its reboot was
// asked for, so that whichever process looks next knows whether the instance has come back since.

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

/** Asks for reboots and finds out when they are done. Used by one thread. */
internal class Rebooter(
    private val table: TableStore,
    private val platform: InstanceList,
    private val timeoutMillis: Long,
) {
    private val askedAtMillis = HashMap<InstanceId, Long>()

    /** Whether [instance], which is being rebooted, is back. Asks for the reboot where nobody has. */
    fun isBack(nowMillis: Long, instance: Instance, listing: InstanceListing): Boolean {
        val bootCount = listing.instances.firstOrNull { it.id == instance.id }?.bootCount
        val key = RowKey("reboot/${instance.id}")
        val row = table.read(listOf(key), timeoutMillis).valueOrNull()?.single() ?: return false
        val before = row.value?.let(::decode)
        return when {
            before == null || before.drainVersion != drainVersionOf(instance) -> {
                if (bootCount != null) record(key, row.revision, ReadBootCount(drainVersionOf(instance), bootCount))
                false
            }

            bootCount != null && bootCount > before.bootCount -> {
                askedAtMillis.remove(instance.id)
                true
            }

            else -> {
                ask(nowMillis, instance.id)
                false
            }
        }
    }

    private fun drainVersionOf(instance: Instance): Long = instance.reservation?.drainVersion?.value ?: 0

    private fun record(key: RowKey, revision: Revision, count: ReadBootCount) {
        val write = Write(key, "${count.drainVersion} ${count.bootCount}")
        val result = table.commit(Transaction(listOf(Condition(key, revision)), listOf(write)), timeoutMillis)
        if (result !is Verdict.Ran) LOG.info("boot count of {} not recorded yet: {}", key, result)
    }

    // Asked again only after a long silence: the platform may have the first call and be slow.
    private fun ask(nowMillis: Long, instance: InstanceId) {
        val asked = askedAtMillis[instance]
        if (asked != null && nowMillis - asked < ASK_AGAIN_MILLIS) return
        askedAtMillis[instance] = nowMillis
        val result = platform.reboot(instance, timeoutMillis)
        LOG.info("asked for the reboot of {}: {}", instance, result)
        if (result is Verdict.NotRun) askedAtMillis.remove(instance)
    }

    private fun decode(value: String): ReadBootCount? {
        val parts = value.split(' ').mapNotNull { it.toLongOrNull() }
        return if (parts.size == 2) ReadBootCount(parts[0], parts[1]) else null
    }

    private data class ReadBootCount(val drainVersion: Long, val bootCount: Long)

    private companion object {
        const val ASK_AGAIN_MILLIS = 60_000L
        val LOG = LoggerFactory.getLogger(Rebooter::class.java)
    }
}

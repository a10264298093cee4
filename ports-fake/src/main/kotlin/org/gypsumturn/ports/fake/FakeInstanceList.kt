// In-memory instance list for tests and for the stand-in. It shows changes with a delay, as the platform does, and
// simulates reboots by the clock that it is given, which may be a virtual one.

package org.gypsumturn.ports.fake

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.InstanceListing
import org.gypsumturn.ports.ListedInstance
import org.gypsumturn.ports.ListedState

/** State of an instance from [sinceMillis] on; null if it has been removed from the list. */
private data class HistoryEntry(val sinceMillis: Long, val instance: ListedInstance?)

/**
 * An instance list in memory. Thread-safe.
 *
 * @param lagMillis time from a change until [list] shows it
 * @param rebootMillis duration of a reboot. The instance stays listed, and its boot count increases at the end
 * @param fault called once for each call, returns the fault to apply to it; `isReboot` is false for calls of [list]
 * @param delay called at the start of each call, before it takes effect; it may block to simulate a slow platform
 * @param onReboot called when a reboot has started, also if the answer to the caller is lost
 * @param nowMillis returns the current time in milliseconds since the Unix epoch
 */
public class FakeInstanceList(
    initial: List<ListedInstance> = emptyList(),
    private val lagMillis: Long = 0,
    private val rebootMillis: Long = 0,
    private val fault: (isReboot: Boolean) -> PortFault = { PortFault.NONE },
    private val delay: () -> Unit = {},
    private val onReboot: (InstanceId) -> Unit = {},
    private val nowMillis: () -> Long,
) : InstanceList {
    private val histories = LinkedHashMap<InstanceId, MutableList<HistoryEntry>>()

    init {
        initial.forEach { histories[it.id] = mutableListOf(HistoryEntry(Long.MIN_VALUE, it)) }
    }

    /** Adds [instance], or replaces its current state. */
    @Synchronized
    public fun put(instance: ListedInstance) {
        addToHistory(instance.id, HistoryEntry(nowMillis(), instance))
    }

    /** Removes [instance] without showing it as [ListedState.LEAVING] first. */
    @Synchronized
    public fun remove(instance: InstanceId) {
        addToHistory(instance, HistoryEntry(nowMillis(), null))
    }

    /** Lists [instance] as [ListedState.LEAVING], or as [ListedState.LIVE] again. Unknown instances are ignored. */
    @Synchronized
    public fun setLeaving(instance: InstanceId, leaving: Boolean) {
        val latest = latest(instance) ?: return
        addToHistory(
            instance,
            HistoryEntry(nowMillis(), latest.copy(state = if (leaving) ListedState.LEAVING else ListedState.LIVE)),
        )
    }

    /** Whether [instance] is rebooting now. */
    @Synchronized
    public fun isRebooting(instance: InstanceId): Boolean {
        val now = nowMillis()
        return histories[instance].orEmpty().any { it.sinceMillis > now }
    }

    override fun list(timeoutMillis: Long): Verdict<InstanceListing> {
        delay()
        return synchronized(this) {
            if (fault(false) != PortFault.NONE) return unreachable()
            val asOfMillis = nowMillis() - lagMillis
            Verdict.Ran(InstanceListing(asOfMillis, histories.values.mapNotNull { instanceAt(it, asOfMillis) }))
        }
    }

    override fun reboot(instance: InstanceId, timeoutMillis: Long): Verdict<Unit> {
        delay()
        val verdict = synchronized(this) { startReboot(instance) }
        val started = verdict is Verdict.Ran || (verdict as? Verdict.MayHaveRun)?.failure == ANSWER_LOST
        if (started) onReboot(instance)
        return verdict
    }

    private fun startReboot(instance: InstanceId): Verdict<Unit> {
        val fault = fault(true)
        if (fault == PortFault.REFUSE) return unreachable()
        if (fault == PortFault.LOSE_REQUEST) return Verdict.MayHaveRun(REQUEST_LOST)
        val latest = latest(instance)
            ?: return Verdict.NotRun(Failure(FailureKind.INVALID, "no instance $instance"))
        addToHistory(instance, HistoryEntry(nowMillis() + rebootMillis, latest.copy(bootCount = latest.bootCount + 1)))
        return if (fault == PortFault.LOSE_ANSWER) Verdict.MayHaveRun(ANSWER_LOST) else Verdict.Ran(Unit)
    }

    private fun latest(instance: InstanceId): ListedInstance? = histories[instance]?.last()?.instance

    private fun instanceAt(history: List<HistoryEntry>, asOfMillis: Long): ListedInstance? =
        history.lastOrNull { it.sinceMillis <= asOfMillis }?.instance

    // Drops entries older than the one that the list shows now. An entry never starts before the previous one, so a
    // change made during a reboot becomes visible only after the reboot.
    private fun addToHistory(instance: InstanceId, entry: HistoryEntry) {
        val history = histories.getOrPut(instance) { mutableListOf() }
        val sinceMillis = maxOf(entry.sinceMillis, history.lastOrNull()?.sinceMillis ?: entry.sinceMillis)
        val visibleIndex = history.indexOfLast { it.sinceMillis <= nowMillis() - lagMillis }
        if (visibleIndex > 0) history.subList(0, visibleIndex).clear()
        history += entry.copy(sinceMillis = sinceMillis)
    }

    private fun unreachable() = Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "the instance list is down"))

    private companion object {
        val ANSWER_LOST = Failure(FailureKind.TIMEOUT, "the platform did not answer after it started the reboot")
        val REQUEST_LOST = Failure(FailureKind.TIMEOUT, "the platform did not answer")
    }
}

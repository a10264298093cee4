// An in-memory instance list that lags behind the truth, and reboots instances in virtual or real time.

package org.gypsumturn.ports.fake

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.InstanceListing
import org.gypsumturn.ports.ListedInstance
import org.gypsumturn.ports.ListedState

/** What the list knows of one instance from [sinceMillis] on; null where it is gone. */
private data class Seen(val sinceMillis: Long, val instance: ListedInstance?)

/**
 * An instance list in memory. Thread-safe. Every change becomes visible [lagMillis] after it was made.
 *
 * @param rebootMillis time for which a rebooting instance is away; it stays listed, and its boot count grows when it
 *   is back
 * @param fault decides, before each call, what becomes of it; `isReboot` tells reboots from lists
 * @param delay is called before each call takes effect; it may block, as a slow platform does
 * @param onReboot is called when a reboot starts
 * @param nowMillis the present time, in milliseconds since the epoch
 */
public class FakeInstanceList(
    initial: List<ListedInstance> = emptyList(),
    private val lagMillis: Long = 0,
    private val rebootMillis: Long = 0,
    private val fault: (isReboot: Boolean) -> TableFault = { TableFault.NONE },
    private val delay: () -> Unit = {},
    private val onReboot: (InstanceId) -> Unit = {},
    private val nowMillis: () -> Long,
) : InstanceList {
    private val histories = LinkedHashMap<InstanceId, MutableList<Seen>>()

    init {
        initial.forEach { histories[it.id] = mutableListOf(Seen(Long.MIN_VALUE, it)) }
    }

    /** Adds [instance], or replaces what is known of it. */
    @Synchronized
    public fun put(instance: ListedInstance) {
        record(instance.id, Seen(nowMillis(), instance))
    }

    /** Removes [instance] without notice. */
    @Synchronized
    public fun vanish(instance: InstanceId) {
        record(instance, Seen(nowMillis(), null))
    }

    /** Announces that [instance] will go, or takes the announcement back. */
    @Synchronized
    public fun setLeaving(instance: InstanceId, leaving: Boolean) {
        val latest = latest(instance) ?: return
        record(instance, Seen(nowMillis(), latest.copy(state = if (leaving) ListedState.LEAVING else ListedState.LIVE)))
    }

    /** Whether [instance] is away for a reboot. */
    @Synchronized
    public fun isRebooting(instance: InstanceId): Boolean {
        val now = nowMillis()
        return histories[instance].orEmpty().any { it.sinceMillis > now }
    }

    override fun list(timeoutMillis: Long): Verdict<InstanceListing> {
        delay()
        return synchronized(this) {
            if (fault(false) != TableFault.NONE) return unavailable()
            val asOf = nowMillis() - lagMillis
            Verdict.Ran(InstanceListing(asOf, histories.values.mapNotNull { at(it, asOf) }))
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
        if (fault == TableFault.REFUSE) return unavailable()
        if (fault == TableFault.LOSE_REQUEST) return Verdict.MayHaveRun(REQUEST_LOST)
        val latest = latest(instance)
            ?: return Verdict.NotRun(Failure(FailureKind.INVALID, "no instance $instance"))
        record(instance, Seen(nowMillis() + rebootMillis, latest.copy(bootCount = latest.bootCount + 1)))
        return if (fault == TableFault.LOSE_ANSWER) Verdict.MayHaveRun(ANSWER_LOST) else Verdict.Ran(Unit)
    }

    private fun latest(instance: InstanceId): ListedInstance? = histories[instance]?.last()?.instance

    private fun at(history: List<Seen>, asOfMillis: Long): ListedInstance? =
        history.lastOrNull { it.sinceMillis <= asOfMillis }?.instance

    // Only the last state that is visible, and those after it, are kept. What changes during a reboot shows after it.
    private fun record(instance: InstanceId, seen: Seen) {
        val history = histories.getOrPut(instance) { mutableListOf() }
        val sinceMillis = maxOf(seen.sinceMillis, history.lastOrNull()?.sinceMillis ?: seen.sinceMillis)
        val visible = history.indexOfLast { it.sinceMillis <= nowMillis() - lagMillis }
        if (visible > 0) history.subList(0, visible).clear()
        history += seen.copy(sinceMillis = sinceMillis)
    }

    private fun unavailable() = Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "the instance list is down"))

    private companion object {
        val ANSWER_LOST = Failure(FailureKind.TIMEOUT, "the platform did not answer after it started the reboot")
        val REQUEST_LOST = Failure(FailureKind.TIMEOUT, "the platform did not answer")
    }
}

// Which workers may get new jobs: not those in quarantine or suspended, and only one new job at a time for
// those that are on trial.

package org.gypsumturn.placement

import org.gypsumturn.model.InstanceId
import java.util.PriorityQueue

/** Keeps [WorkerSlot.isUsable] in line with what is known of the workers. */
internal class WorkerUsability(
    private val slots: WorkerSlots,
    private val judge: FailureJudge,
    private val settings: PlacementSettings,
) {
    private val suspendedUntil = HashMap<InstanceId, Long>()
    private val wakeUpOf = HashMap<InstanceId, Long>()
    private val wakeUps = PriorityQueue<WakeUp>(compareBy { it.atMillis })

    private class WakeUp(val atMillis: Long, val worker: InstanceId)

    fun updateAll(nowMillis: Long) {
        slots.all.forEach { update(it, nowMillis) }
    }

    fun update(slot: WorkerSlot, nowMillis: Long) {
        val until = judge.quarantinedUntilMillis(slot.info.id)
        if (until != null && until > nowMillis && wakeUpOf[slot.info.id] != until) {
            wakeUpOf[slot.info.id] = until
            wakeUps += WakeUp(until, slot.info.id)
        }
        val usable = isUsable(slot, nowMillis)
        if (usable == slot.isUsable) return
        slot.isUsable = usable
        slots.refresh(slot)
    }

    fun suspend(slot: WorkerSlot, nowMillis: Long) {
        val until = nowMillis + settings.suspensionMillis
        suspendedUntil[slot.info.id] = until
        wakeUps += WakeUp(until, slot.info.id)
        update(slot, nowMillis)
    }

    /** Looks again at workers whose time is over. */
    fun wake(nowMillis: Long) {
        while (true) {
            val next = wakeUps.peek() ?: return
            if (next.atMillis > nowMillis) return
            wakeUps.remove()
            suspendedUntil.entries.removeIf { it.key == next.worker && it.value <= nowMillis }
            slots[next.worker]?.let { update(it, nowMillis) }
        }
    }

    private fun isUsable(slot: WorkerSlot, nowMillis: Long): Boolean {
        val id = slot.info.id
        if ((suspendedUntil[id] ?: Long.MIN_VALUE) > nowMillis) return false
        return when (judge.trustIn(id, nowMillis)) {
            WorkerTrust.QUARANTINED -> false
            WorkerTrust.ON_TRIAL -> !judge.isTrying(id)
            WorkerTrust.TRUSTED -> true
        }
    }
}

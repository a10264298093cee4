// Decides which workers may get new jobs: none for workers that are quarantined or suspended, and one at a time for
// workers that are on trial.

package org.gypsumturn.placement

import org.gypsumturn.model.InstanceId
import java.util.PriorityQueue

/** Keeps [WorkerState.isUsable] up to date. */
internal class WorkerUsability(
    private val workers: WorkerIndex,
    private val failureClassifier: FailureClassifier,
    private val settings: PlacementSettings,
) {
    private val suspendedUntilMillis = HashMap<InstanceId, Long>()
    private val quarantineWakeUpMillis = HashMap<InstanceId, Long>()
    private val wakeUps = PriorityQueue<WakeUp>(compareBy { it.atMillis })

    private class WakeUp(val atMillis: Long, val worker: InstanceId)

    fun updateAll(nowMillis: Long) {
        workers.all.forEach { update(it, nowMillis) }
    }

    fun update(worker: WorkerState, nowMillis: Long) {
        val until = failureClassifier.quarantinedUntilMillis(worker.info.id)
        if (until != null && until > nowMillis && quarantineWakeUpMillis[worker.info.id] != until) {
            quarantineWakeUpMillis[worker.info.id] = until
            wakeUps += WakeUp(until, worker.info.id)
        }
        val usable = isUsable(worker, nowMillis)
        if (usable == worker.isUsable) return
        worker.isUsable = usable
        workers.updateIndexes(worker)
    }

    fun suspend(worker: WorkerState, nowMillis: Long) {
        val until = nowMillis + settings.suspensionMillis
        suspendedUntilMillis[worker.info.id] = until
        wakeUps += WakeUp(until, worker.info.id)
        update(worker, nowMillis)
    }

    /** Re-evaluates workers whose quarantine or suspension has ended. */
    fun processWakeUps(nowMillis: Long) {
        while (true) {
            val next = wakeUps.peek() ?: return
            if (next.atMillis > nowMillis) return
            wakeUps.remove()
            suspendedUntilMillis.entries.removeIf { it.key == next.worker && it.value <= nowMillis }
            workers[next.worker]?.let { update(it, nowMillis) }
        }
    }

    private fun isUsable(worker: WorkerState, nowMillis: Long): Boolean {
        val id = worker.info.id
        if ((suspendedUntilMillis[id] ?: Long.MIN_VALUE) > nowMillis) return false
        return when (failureClassifier.trustOf(id, nowMillis)) {
            WorkerTrust.QUARANTINED -> false
            WorkerTrust.ON_TRIAL -> !failureClassifier.isTrialRunning(id)
            WorkerTrust.TRUSTED -> true
        }
    }
}

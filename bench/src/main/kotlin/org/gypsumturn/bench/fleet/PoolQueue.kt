// The simulated work queue of a pool, in arrival order. Work is measured in milliseconds of one instance. The queue
// counts how much work was late.

package org.gypsumturn.bench.fleet

/**
 * @property lateAfterMillis wait after which work is late
 * @property dropsLate whether late work is discarded, as by callers whose timeout has passed; otherwise it is still
 *   done
 */
internal class PoolQueue(private val lateAfterMillis: Long, private val dropsLate: Boolean) {
    private class Batch(val arrivedAtMillis: Long, var instanceMillis: Double)

    private val waiting = ArrayDeque<Batch>()

    var queuedInstanceMillis = 0.0
        private set
    var lateInstanceMillis = 0.0
        private set

    /** Adds [arrivedInstanceMillis], does up to [capacityInstanceMillis] of work, and returns the work done. */
    fun processTick(nowMillis: Long, arrivedInstanceMillis: Double, capacityInstanceMillis: Double): Double {
        waiting.addLast(Batch(nowMillis, arrivedInstanceMillis))
        queuedInstanceMillis += arrivedInstanceMillis
        if (dropsLate) dropLateWork(nowMillis)
        var remainingInstanceMillis = capacityInstanceMillis
        while (remainingInstanceMillis > 0 && waiting.isNotEmpty()) {
            val batch = waiting.first()
            val doneInstanceMillis = minOf(remainingInstanceMillis, batch.instanceMillis)
            if (nowMillis - batch.arrivedAtMillis > lateAfterMillis) lateInstanceMillis += doneInstanceMillis
            batch.instanceMillis -= doneInstanceMillis
            queuedInstanceMillis -= doneInstanceMillis
            remainingInstanceMillis -= doneInstanceMillis
            if (batch.instanceMillis <= 0) waiting.removeFirst()
        }
        return capacityInstanceMillis - remainingInstanceMillis
    }

    /** Adds the work that is still queued at the end of a run and already late. */
    fun countLateWorkAtEnd(nowMillis: Long) {
        lateInstanceMillis += waiting.filter { nowMillis - it.arrivedAtMillis > lateAfterMillis }
            .sumOf { it.instanceMillis }
    }

    private fun dropLateWork(nowMillis: Long) {
        while (waiting.isNotEmpty() && nowMillis - waiting.first().arrivedAtMillis > lateAfterMillis) {
            val batch = waiting.removeFirst()
            lateInstanceMillis += batch.instanceMillis
            queuedInstanceMillis -= batch.instanceMillis
        }
    }
}

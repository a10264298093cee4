// A queue of work in arrival order, in milliseconds of one instance. It tells how much work ended late.

package org.gypsumturn.bench.fleet

/**
 * @property lateAfterMillis wait after which work is late
 * @property dropsLate whether late work is given up, as by callers whose timeout has passed, or still done
 */
internal class PoolQueue(private val lateAfterMillis: Long, private val dropsLate: Boolean) {
    private class Batch(val arrivedMillis: Long, var instanceMillis: Double)

    private val waiting = ArrayDeque<Batch>()

    var queuedMillis = 0.0
        private set
    var lateMillis = 0.0
        private set

    /** Adds [arrived] and does up to [capacity] of work; returns the work done. */
    fun tick(nowMillis: Long, arrived: Double, capacity: Double): Double {
        waiting.addLast(Batch(nowMillis, arrived))
        queuedMillis += arrived
        if (dropsLate) dropLate(nowMillis)
        var left = capacity
        while (left > 0 && waiting.isNotEmpty()) {
            val batch = waiting.first()
            val done = minOf(left, batch.instanceMillis)
            if (nowMillis - batch.arrivedMillis > lateAfterMillis) lateMillis += done
            batch.instanceMillis -= done
            queuedMillis -= done
            left -= done
            if (batch.instanceMillis <= 0) waiting.removeFirst()
        }
        return capacity - left
    }

    /** Counts what still waits at the end and is late already. */
    fun close(nowMillis: Long) {
        lateMillis += waiting.filter { nowMillis - it.arrivedMillis > lateAfterMillis }.sumOf { it.instanceMillis }
    }

    private fun dropLate(nowMillis: Long) {
        while (waiting.isNotEmpty() && nowMillis - waiting.first().arrivedMillis > lateAfterMillis) {
            val batch = waiting.removeFirst()
            lateMillis += batch.instanceMillis
            queuedMillis -= batch.instanceMillis
        }
    }
}

// Segment tree over the free capacity of workers. Each node holds the maximum of each resource below it, so the first
// worker with enough of all resources is found without a scan over all workers.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity

/** Free capacity of workers by position. Positions go from zero to [size] exclusive. */
internal class CapacityTree(private val size: Int) {
    private val leafCount = Integer.highestOneBit((size - 1).coerceAtLeast(1)) * 2
    private val processors = LongArray(2 * leafCount) { Long.MIN_VALUE }
    private val memory = LongArray(2 * leafCount) { Long.MIN_VALUE }
    private val accelerators = IntArray(2 * leafCount) { Int.MIN_VALUE }

    /** Sets the free capacity at [position]. */
    fun set(position: Int, room: Capacity) {
        var node = leafCount + position
        processors[node] = room.processorsMilli
        memory[node] = room.memoryMib
        accelerators[node] = room.accelerators
        while (node > 1) {
            node /= 2
            merge(node)
        }
    }

    /** Excludes [position] from searches until its capacity is set again. */
    fun hide(position: Int) {
        set(position, HIDDEN)
    }

    /** The first position below [end] that has room for [need] and that [accept] takes, or [NONE]. */
    fun firstFitting(need: Capacity, end: Int, accept: (Int) -> Boolean): Int =
        search(1, 0, leafCount, need, end, accept)

    private fun search(node: Int, from: Int, width: Int, need: Capacity, end: Int, accept: (Int) -> Boolean): Int {
        if (from >= minOf(end, size) || !fits(node, need)) return NONE
        if (width == 1) return if (accept(from)) from else NONE
        val half = width / 2
        val left = search(2 * node, from, half, need, end, accept)
        return if (left != NONE) left else search(2 * node + 1, from + half, half, need, end, accept)
    }

    private fun fits(node: Int, need: Capacity): Boolean = processors[node] >= need.processorsMilli &&
        memory[node] >= need.memoryMib &&
        accelerators[node] >= need.accelerators

    private fun merge(node: Int) {
        val left = 2 * node
        val right = left + 1
        processors[node] = maxOf(processors[left], processors[right])
        memory[node] = maxOf(memory[left], memory[right])
        accelerators[node] = maxOf(accelerators[left], accelerators[right])
    }

    companion object {
        const val NONE = -1
        private val HIDDEN = Capacity(Long.MIN_VALUE, Long.MIN_VALUE, Int.MIN_VALUE)
    }
}

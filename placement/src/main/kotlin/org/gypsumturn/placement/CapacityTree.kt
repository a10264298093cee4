// Index of the workers' room: a segment tree over the workers whose nodes hold the greatest room of each kind below
// them. It finds the first worker with enough of all kinds without looking at each.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity

/** Room of workers by position. Positions are dense, from zero to [size] exclusive. */
internal class CapacityTree(private val size: Int) {
    private val leaves = Integer.highestOneBit((size - 1).coerceAtLeast(1)) * 2
    private val processors = LongArray(2 * leaves) { Long.MIN_VALUE }
    private val memory = LongArray(2 * leaves) { Long.MIN_VALUE }
    private val accelerators = IntArray(2 * leaves) { Int.MIN_VALUE }

    /** Sets the room at [position]. */
    fun set(position: Int, room: Capacity) {
        var node = leaves + position
        processors[node] = room.processorsMilli
        memory[node] = room.memoryMib
        accelerators[node] = room.accelerators
        while (node > 1) {
            node /= 2
            merge(node)
        }
    }

    /** Leaves [position] out of all searches until it is set again. */
    fun hide(position: Int) {
        set(position, HIDDEN)
    }

    /** The first position below [end] with room for [need] that [accept] takes, or -1. */
    fun first(need: Capacity, end: Int, accept: (Int) -> Boolean): Int = search(1, 0, leaves, need, end, accept)

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

// Decides whether a workspace may start more tasks under its cap. Capacity counts as used until it is known to be free:
// a run that is being stopped, whose start was not answered or whose executor is silent still counts, and after a
// takeover so does each task that an earlier holder may have started.

package org.gypsumturn.batch.workspace

import org.gypsumturn.batch.model.ResourceAmounts

/** A workspace that has less than this part of its cap in use gets one more task, however large that is. */
private const val GUARANTEED_PART_OF_CAP = 0.5

/**
 * Capacity that a workspace uses over all executors.
 *
 * @property held capacity of the runs that this holder knows
 * @property unconfirmed capacity of the tasks that may run without this holder's knowledge
 */
public data class WorkspaceUse(public val held: ResourceAmounts, public val unconfirmed: ResourceAmounts) {
    /** Capacity that may be in use. */
    public val atMost: ResourceAmounts get() = held + unconfirmed
}

/**
 * Whether [count] more tasks of [size], which must start together, keep within [cap]. The last of them may exceed the
 * cap while less than half of the cap is in use: otherwise a task that is larger than what other tasks leave of a small
 * cap would wait until the workspace has nothing else to run.
 */
public fun capAllows(cap: ResourceAmounts, use: WorkspaceUse, size: ResourceAmounts, count: Int = 1): Boolean {
    val used = use.atMost
    val needed = size * count
    if (isWithin(used + needed, cap)) return true
    return isWithin(used, cap, GUARANTEED_PART_OF_CAP) && isWithin(used + needed - size, cap)
}

/** Whether [amounts] are within the given [part] of [cap]. A component of 0 of the cap sets no bound. */
private fun isWithin(amounts: ResourceAmounts, cap: ResourceAmounts, part: Double = 1.0): Boolean =
    isWithin(amounts.cpuMillis, cap.cpuMillis, part) &&
        isWithin(amounts.memoryMb, cap.memoryMb, part) &&
        isWithin(amounts.accelerators, cap.accelerators, part)

private fun isWithin(amount: Long, cap: Long, part: Double): Boolean = cap == 0L || amount <= cap * part

// State of one unfinished job in the memory of its owner: its row as last known, the events that are not written yet,
// and the lease of its task.

package org.gypsumturn.jobs

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.Revision
import org.gypsumturn.placement.JobEvent
import org.gypsumturn.placement.Transition
import org.gypsumturn.placement.after
import org.gypsumturn.placement.hasActiveAttempt
import org.gypsumturn.ports.TaskKey

/** An event and the time at which the owner learned of it. */
internal data class TimedEvent(val event: JobEvent, val atMillis: Long)

/** Whether the worker has confirmed that it knows the task. */
internal enum class StartStatus { UNKNOWN, CONFIRMED }

/** An unfinished job of an owned pool. */
internal class OpenJob(record: JobRecord, revision: Revision, val pool: OwnedPool) {
    /** The record in the table, as last known. */
    var record: JobRecord = record
        private set
    var revision: Revision = revision
        private set

    /** The record once all pending events are written; equal to [record] if there are none. */
    var pendingRecord: JobRecord = record
        private set

    /** Time until which the task may run without another renewal, with the margin included. */
    var leaseUntilMillis: Long = 0
    var startStatus: StartStatus = StartStatus.UNKNOWN

    /** The usage that the worker last reported for an attempt. */
    var observedUsage: Capacity = Capacity.ZERO

    private val events = ArrayDeque<TimedEvent>()
    private var lastWriteEventCount = 0
    private var lastWrite: JobRecord? = null

    val isDirty: Boolean get() = events.isNotEmpty()

    /** The attempt that may be running according to the table, or null. */
    val task: TaskKey?
        get() = if (record.state.hasActiveAttempt) TaskKey(record.spec.id, record.attempt, record.epoch) else null

    /** Adds [event] if it changes the record. Returns whether it does, so that the row must be written. */
    fun addEvent(event: JobEvent, nowMillis: Long): Boolean {
        val transition = pendingRecord.after(event, nowMillis)
        if (transition !is Transition.Changed) return false
        events += TimedEvent(event, nowMillis)
        pendingRecord = transition.record
        return true
    }

    /** Marks [pendingRecord] as being written and returns it. */
    fun beginWrite(): JobRecord {
        lastWriteEventCount = events.size
        lastWrite = pendingRecord
        return pendingRecord
    }

    /** Whether a write of the row is in progress or has not been answered. */
    val isWriting: Boolean get() = lastWrite != null

    /** Handles a last write that certainly did not take effect. */
    fun abandonWrite() {
        clearLastWrite()
    }

    /** Whether [found] is the record of the last write. */
    fun matchesLastWrite(found: JobRecord): Boolean = found == lastWrite

    /** Handles a last write that took effect with [newRevision]. Events that were added since stay pending. */
    fun commitWrite(newRevision: Revision) {
        record = lastWrite ?: record
        revision = newRevision
        repeat(lastWriteEventCount) { events.removeFirst() }
        clearLastWrite()
        reapplyEvents()
    }

    /** Handles a change of the row to [found] by another process. Pending events are applied to that record instead. */
    fun rebase(found: JobRecord, newRevision: Revision) {
        record = found
        revision = newRevision
        clearLastWrite()
        reapplyEvents()
    }

    private fun clearLastWrite() {
        lastWrite = null
        lastWriteEventCount = 0
    }

    private fun reapplyEvents() {
        pendingRecord = record
        val pendingEvents = events.toList()
        events.clear()
        pendingEvents.forEach { addEvent(it.event, it.atMillis) }
    }
}

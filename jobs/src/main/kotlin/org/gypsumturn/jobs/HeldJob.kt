// What an owner keeps in memory of one unfinished job: its row as last known, the events that the row lacks, and the
// lease of its task.

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

/** How much the owner knows about the start of a task. */
internal enum class StartKnowledge { UNKNOWN, CONFIRMED }

/** One unfinished job of an owned pool. */
internal class HeldJob(record: JobRecord, revision: Revision, val pool: OwnedPool) {
    /** The row as it is known to be in the table. */
    var record: JobRecord = record
        private set
    var revision: Revision = revision
        private set

    /** What the row becomes once all events are written; equal to [record] where none is pending. */
    var next: JobRecord = record
        private set

    /** Time until which the task may still run without another renewal, margin included. */
    var leaseUntilMillis: Long = 0
    var start: StartKnowledge = StartKnowledge.UNKNOWN

    /** What the attempts were seen to use. */
    var used: Capacity = Capacity.ZERO

    private val events = ArrayDeque<TimedEvent>()
    private var writtenEvents = 0
    private var written: JobRecord? = null

    val isDirty: Boolean get() = events.isNotEmpty()

    /** The attempt that may be running, by the row in the table. */
    val task: TaskKey? get() = if (record.state.hasActiveAttempt) TaskKey(record.spec.id, record.attempt, record.epoch) else null

    /** Adds [event] if it means anything; true if the row must be written. */
    fun add(event: JobEvent, nowMillis: Long): Boolean {
        val transition = next.after(event, nowMillis)
        if (transition !is Transition.Changed) return false
        events += TimedEvent(event, nowMillis)
        next = transition.record
        return true
    }

    /** Remembers that [next] is being written. */
    fun beginWrite(): JobRecord {
        writtenEvents = events.size
        written = next
        return next
    }

    /** Whether a write of the row is under way or its answer is missing. */
    val isWriting: Boolean get() = written != null

    /** The last write certainly did not take effect. */
    fun abandonWrite() {
        forgetWrite()
    }

    /** Whether [found] is what the last write wrote. */
    fun wrote(found: JobRecord): Boolean = found == written

    /** The last write took effect under [newRevision]; events added since stay pending. */
    fun commitWrite(newRevision: Revision) {
        record = written ?: record
        revision = newRevision
        repeat(writtenEvents) { events.removeFirst() }
        forgetWrite()
        replay()
    }

    /** Another process changed the row to [found]; pending events apply to that instead. */
    fun rebase(found: JobRecord, newRevision: Revision) {
        record = found
        revision = newRevision
        forgetWrite()
        replay()
    }

    private fun forgetWrite() {
        written = null
        writtenEvents = 0
    }

    private fun replay() {
        next = record
        val kept = events.toList()
        events.clear()
        kept.forEach { add(it.event, it.atMillis) }
    }
}

// Crashes of executors under one task. An executor that crashes reports no end of its runs, so that these crashes are
// counted apart from the ends that executors report as failed. All of it is stored with the progress of the job, since
// a later holder of the control lease has no other way to learn it.

package org.gypsumturn.batch.state

/** Crashes of executors under one task, by the number of the task's attempt on the executor that crashed. */
public class CrashHistory {
    /** Attempts whose executor crashed soon after their start, which the task may have caused. */
    public var atStart: Set<Long> = emptySet()

    /**
     * Attempts whose executor crashed for which the task is hardly to blame: it had run for longer, or another job was
     * found to be the cause.
     */
    public var cleared: Set<Long> = emptySet()

    /**
     * Attempts that may have crashed their executor, as far as is known: it has been silent since shortly after their
     * start, or the task is suspected and has not survived the start yet.
     */
    public var unresolved: Set<Long> = emptySet()

    /** Number of executors that the task may have crashed by its start. */
    public val suspicion: Int get() = atStart.size + unresolved.size

    /** Number of executors that have or may have crashed under the task, whatever the cause. */
    public val total: Int get() = suspicion + cleared.size
}

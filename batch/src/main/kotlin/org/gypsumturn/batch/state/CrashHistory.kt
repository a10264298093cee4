// Crashes of executors under one task. An executor that crashes reports no end of its runs, so that these crashes are
// counted apart from the ends that executors report as failed.

package org.gypsumturn.batch.state

/** Crashes of executors under one task, by the number of the task's attempt on the executor that crashed. */
public class CrashHistory {
    /** Attempts whose executor crashed soon after their start, which the task may have caused. */
    public var atStart: Set<Long> = emptySet()

    /** Attempts whose executor crashed after it had run the task for longer. */
    public var later: Set<Long> = emptySet()

    /** Number of executors that have crashed under the task. */
    public val count: Int get() = atStart.size + later.size
}

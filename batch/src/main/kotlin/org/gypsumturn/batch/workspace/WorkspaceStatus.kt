// What an operator sees of a workspace: what it uses of its cap, and what of it waits.

package org.gypsumturn.batch.workspace

import org.gypsumturn.batch.model.Workspace

/**
 * State of [workspace] at one moment.
 *
 * @property use capacity that it uses on all executors
 * @property waitingTasks tasks of its jobs that could be started now and have no run
 * @property isHeldBack whether its cap has held back a start within the last second
 */
public class WorkspaceStatus(
    public val workspace: Workspace,
    public val use: WorkspaceUse,
    public val waitingTasks: Int,
    public val isHeldBack: Boolean,
)

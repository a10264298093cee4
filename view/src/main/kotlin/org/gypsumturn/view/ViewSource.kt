// Access to the view for the other parts of a process: the view in force, and whether it may still be used.

package org.gypsumturn.view

import org.gypsumturn.model.FleetView

/** Whether this process may accept new work; [reason] explains it to operators. */
public data class Readiness(public val ready: Boolean, public val reason: String)

/** The view that one process has in force. Later calls to listeners come from the view's thread and must not block. */
public interface ViewSource {
    /** The view in force. Its version never decreases. */
    public fun currentView(): FleetView

    /** Whether the view may be used now. */
    public fun readiness(): Readiness

    /** Calls [listener] at once with the current view, and later with each newer one. */
    public fun onView(listener: (FleetView) -> Unit)

    /** Calls [listener] at once with the current readiness, and later with each change of it. */
    public fun onReadiness(listener: (Readiness) -> Unit)
}

// What the rest of a process sees of the view: the newest one in force here, and whether it may still be used.

package org.gypsumturn.view

import org.gypsumturn.model.FleetView

/** Whether this process may take new work; [reason] tells operators why not. */
public data class Readiness(public val ready: Boolean, public val reason: String)

/** The view of one process. Listeners are called from the view's own thread and must not block. */
public interface ViewSource {
    /** The view in force. It never goes back to an earlier version. */
    public fun currentView(): FleetView

    /** Whether the view's lease holds. */
    public fun readiness(): Readiness

    /** Calls [listener] with the current view and with each later one. */
    public fun onView(listener: (FleetView) -> Unit)

    /** Calls [listener] with the current readiness and with each change of it. */
    public fun onReadiness(listener: (Readiness) -> Unit)
}

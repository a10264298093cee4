// Looks at the platform's instance list at intervals and tells which instances are leaving, without waiting for the
// view to say so.

package org.gypsumturn.entry

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.ListedState
import org.gypsumturn.runtime.duty.EventLoopThread

/** At each look, calls [onLeaving] for each instance that the list shows as leaving, on a thread of its own. */
internal class LeavingWatch(
    private val instances: InstanceList,
    intervalMillis: Long,
    private val timeoutMillis: Long,
    private val onLeaving: (InstanceId) -> Unit,
) : AutoCloseable {
    private val duty = EventLoopThread<Unit>("instance-list", 2, intervalMillis, {}, ::look)

    /** Starts the thread. */
    fun start() = duty.start()

    override fun close() = duty.close()

    private fun look() {
        val listing = instances.list(timeoutMillis).valueOrNull() ?: return
        listing.instances.filter { it.state == ListedState.LEAVING }.forEach { onLeaving(it.id) }
    }
}

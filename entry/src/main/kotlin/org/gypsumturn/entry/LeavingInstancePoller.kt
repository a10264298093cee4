// Polls the platform's instance list and reports the instances that are leaving. This is faster than waiting until the
// fleet view shows them as leaving.

package org.gypsumturn.entry

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.ListedState
import org.gypsumturn.runtime.duty.EventLoopThread

/**
 * Polls [instances] on its own thread, and calls [onLeaving] there for each instance that is listed as leaving, in
 * every poll again. A poll that fails is skipped.
 */
internal class LeavingInstancePoller(
    private val instances: InstanceList,
    intervalMillis: Long,
    private val timeoutMillis: Long,
    private val onLeaving: (InstanceId) -> Unit,
) : AutoCloseable {
    private val eventLoop = EventLoopThread<Unit>("instance-list", 2, intervalMillis, {}, ::pollInstanceList)

    fun start() = eventLoop.start()

    override fun close() = eventLoop.close()

    private fun pollInstanceList() {
        val listing = instances.list(timeoutMillis).valueOrNull() ?: return
        listing.instances.filter { it.state == ListedState.LEAVING }.forEach { onLeaving(it.id) }
    }
}

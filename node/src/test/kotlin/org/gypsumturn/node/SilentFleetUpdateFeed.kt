// A feed of fleet updates that never answers a call, for tests that need no updates or override only the first reading.

package org.gypsumturn.node

import org.gypsumturn.batch.port.FleetUpdateFeed
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.batch.port.FleetUpdatePage
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.model.Revision

internal open class SilentFleetUpdateFeed : FleetUpdateFeed {
    override fun readAll(kind: FleetUpdateKind, timeoutMillis: Long, onVerdict: VerdictCallback<FleetUpdatePage>) = Unit

    override fun awaitUpdates(
        kind: FleetUpdateKind,
        after: Revision,
        waitMillis: Long,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<FleetUpdatePage>,
    ) = Unit

    override fun publishWave(number: Long, completed: Boolean, timeoutMillis: Long, onVerdict: VerdictCallback<Unit>) =
        Unit
}

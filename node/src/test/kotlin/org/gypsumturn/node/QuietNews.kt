// News of which nothing is heard, for tests that need none or only the first reading.

package org.gypsumturn.node

import org.gypsumturn.batch.port.FleetUpdateFeed
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.batch.port.FleetUpdatePage
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.model.Revision

internal open class QuietNews : FleetUpdateFeed {
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

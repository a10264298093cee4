// News of which nothing is heard, for tests that need none or only the first reading.

package org.gypsumturn.node

import org.gypsumturn.batch.port.Done
import org.gypsumturn.batch.port.FleetNewsFeed
import org.gypsumturn.batch.port.FleetNewsPage
import org.gypsumturn.batch.port.NewsKind
import org.gypsumturn.model.Revision

internal open class QuietNews : FleetNewsFeed {
    override fun readAll(kind: NewsKind, timeoutMillis: Long, done: Done<FleetNewsPage>) = Unit

    override fun follow(
        kind: NewsKind,
        after: Revision,
        waitMillis: Long,
        timeoutMillis: Long,
        done: Done<FleetNewsPage>,
    ) = Unit

    override fun publishWave(number: Long, completed: Boolean, timeoutMillis: Long, done: Done<Unit>) = Unit
}

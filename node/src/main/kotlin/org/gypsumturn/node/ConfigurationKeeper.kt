// Follows the operator's rows, so that each node has the newest configuration in force soon after it was written, and
// never an older one after a newer.

package org.gypsumturn.node

import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.FleetUpdate
import org.gypsumturn.batch.port.FleetUpdateFeed
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.batch.port.FleetUpdatePage
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** Schedules a function on the thread that owns the caller, after a delay in milliseconds. */
public typealias Later = (delayMillis: Long, action: () -> Unit) -> Unit

/** Keeps the configuration; [later] runs its retries on the thread that calls [start]. */
public class ConfigurationKeeper(
    private val news: FleetUpdateFeed,
    private val later: Later,
    private val onConfiguration: (FleetConfiguration) -> Unit,
    private val onWave: (UpkeepWave) -> Unit,
) {
    /** The configuration in force; null before the first. */
    @Volatile
    public var current: FleetConfiguration? = null
        private set

    private val storeOutage = OutageLog("store lost", "store regained", "by" to "configuration")

    /** Begins to read. */
    public fun start() {
        readAll()
    }

    private fun readAll() {
        news.readAll(FleetUpdateKind.OPERATOR, CALL_TIMEOUT_MILLIS) { take(it, ::readAll) }
    }

    private fun follow(after: Revision) {
        news.awaitUpdates(FleetUpdateKind.OPERATOR, after, WAIT_MILLIS, WAIT_MILLIS + WAIT_TIMEOUT_MILLIS) { verdict ->
            take(verdict) { follow(after) }
        }
    }

    private fun take(verdict: Verdict<FleetUpdatePage>, again: () -> Unit) {
        storeOutage.note(verdict)
        if (verdict !is Verdict.Ran) {
            later(RETRY_MILLIS, again)
            return
        }
        val page = verdict.value
        val found = page.updates
        if (found == null) {
            logEvent("history discarded", "table" to FleetUpdateKind.OPERATOR)
            readAll()
            return
        }
        found.forEach(::adopt)
        // Without a configuration the first one may be written at any moment.
        follow(page.revision)
    }

    private fun adopt(news: FleetUpdate) {
        when (news) {
            is FleetUpdate.ConfigurationChanged -> adopt(news.configuration)
            is FleetUpdate.WaveRequested -> onWave(news.wave)
            is FleetUpdate.Unreadable -> logEvent("row unreadable", "key" to news.key, "why" to news.reason)
            else -> Unit
        }
    }

    private fun adopt(configuration: FleetConfiguration) {
        val before = current
        if (before != null && configuration.version <= before.version) return
        current = configuration
        logEvent(
            "configuration in force",
            "version" to configuration.version,
            "before" to before?.version,
            "queues" to configuration.queues.size,
        )
        onConfiguration(configuration)
    }

    private companion object {
        /** How long a call waits for a change; bounds how late a silent connection is noticed. */
        const val WAIT_MILLIS = 1_000L

        /** Time beyond the wait after which the connection is given up: a slow store answers within it. */
        const val WAIT_TIMEOUT_MILLIS = 700L

        /** Time for a read of everything. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /** Pause between two tries. */
        const val RETRY_MILLIS = 100L
    }
}

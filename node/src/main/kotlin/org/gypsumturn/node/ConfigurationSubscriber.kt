// Subscribes to the operator's rows in the store, so that each node soon has the newest configuration in force. A node
// never goes back from a newer configuration to an older one.

package org.gypsumturn.node

import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.FleetUpdate
import org.gypsumturn.batch.port.FleetUpdateFeed
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.batch.port.FleetUpdatePage
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** Runs an action on the thread that owns the caller's state, after a delay in milliseconds. */
public typealias DelayedPost = (delayMillis: Long, action: () -> Unit) -> Unit

/**
 * Reads the operator's configuration and requests for waves by long polls.
 *
 * @param postDelayed runs retries, on the thread that calls [start]
 * @param onConfiguration called with each configuration that is newer than the one in force
 * @param onWave called with each requested wave, and again with the same waves when all rows are read again
 */
public class ConfigurationSubscriber(
    private val updates: FleetUpdateFeed,
    private val postDelayed: DelayedPost,
    private val onConfiguration: (FleetConfiguration) -> Unit,
    private val onWave: (UpkeepWave) -> Unit,
) {
    /** The configuration in force; null until one has been read. */
    @Volatile
    public var current: FleetConfiguration? = null
        private set

    private val storeOutage = OutageLog("store lost", "store regained", "by" to "configuration")

    /** Starts reading. Failed calls are retried until they succeed. */
    public fun start() {
        readAll()
    }

    private fun readAll() {
        updates.readAll(FleetUpdateKind.OPERATOR, CALL_TIMEOUT_MILLIS) { onPage(it, ::readAll) }
    }

    private fun awaitUpdates(after: Revision) {
        updates.awaitUpdates(
            FleetUpdateKind.OPERATOR,
            after,
            POLL_WAIT_MILLIS,
            POLL_WAIT_MILLIS + POLL_TIMEOUT_MILLIS,
        ) { verdict ->
            onPage(verdict) { awaitUpdates(after) }
        }
    }

    private fun onPage(verdict: Verdict<FleetUpdatePage>, retry: () -> Unit) {
        storeOutage.recordResult(verdict)
        if (verdict !is Verdict.Ran) {
            postDelayed(RETRY_MILLIS, retry)
            return
        }
        val page = verdict.value
        val pageUpdates = page.updates
        if (pageUpdates == null) {
            logEvent("history discarded", "table" to FleetUpdateKind.OPERATOR)
            readAll()
            return
        }
        pageUpdates.forEach(::applyUpdate)
        // This also applies when there is no configuration yet, since the first one may be written at any moment.
        awaitUpdates(page.revision)
    }

    private fun applyUpdate(update: FleetUpdate) {
        when (update) {
            is FleetUpdate.ConfigurationChanged -> applyConfiguration(update.configuration)
            is FleetUpdate.WaveRequested -> onWave(update.wave)
            is FleetUpdate.Unreadable -> logEvent("row unreadable", "key" to update.key, "why" to update.reason)
            else -> Unit
        }
    }

    private fun applyConfiguration(configuration: FleetConfiguration) {
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
        /** How long a long poll waits for updates. It bounds how late a silent connection is noticed. */
        const val POLL_WAIT_MILLIS = 1_000L

        /** Time after the end of its wait at which a long poll has failed. A slow store still answers within it. */
        const val POLL_TIMEOUT_MILLIS = 700L

        /** Timeout of a reading of all rows. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /** Pause before a failed call is repeated. */
        const val RETRY_MILLIS = 100L
    }
}

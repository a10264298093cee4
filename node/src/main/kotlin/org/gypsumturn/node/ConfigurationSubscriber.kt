// Subscribes to the operator's rows in the store, so that each node soon has the newest configuration in force. A node
// never goes back from a newer configuration to an older one.

package org.gypsumturn.node

import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.FleetUpdate
import org.gypsumturn.batch.port.FleetUpdateFeed
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.model.Verdict

/** Runs an action on the thread that owns the caller's state, after a delay in milliseconds. */
public typealias DelayedPost = (delayMillis: Long, action: () -> Unit) -> Unit

/**
 * Reads the operator's configuration and requests for waves by long polls.
 *
 * @param postDelayed runs what follows on answers and delays, on the thread that calls [start]
 * @param onConfiguration called with each configuration that is newer than the one in force
 * @param onWave called with each requested wave, and again with the same waves when all rows are read again
 * @param nowMillis reads the steady clock
 */
public class ConfigurationSubscriber(
    updates: FleetUpdateFeed,
    postDelayed: DelayedPost,
    private val onConfiguration: (FleetConfiguration) -> Unit,
    private val onWave: (UpkeepWave) -> Unit,
    nowMillis: () -> Long = NodeClock::steadyMillis,
) {
    /** The configuration in force; null until one has been read. */
    @Volatile
    public var current: FleetConfiguration? = null
        private set

    private val storeOutage = OutageLog("store lost", "store regained", "by" to "configuration")
    private val listener = object : FleetUpdateListener {
        override fun onAllRead(updates: List<FleetUpdate>) = updates.forEach(::applyUpdate)

        override fun onUpdates(updates: List<FleetUpdate>) = updates.forEach(::applyUpdate)

        override fun onKnown(asOfMillis: Long) = Unit

        override fun onCallResult(verdict: Verdict<*>) {
            storeOutage.recordResult(verdict)
        }
    }
    private val follower = FleetUpdateFollower(
        updates,
        FleetUpdateKind.OPERATOR,
        POLL_WAIT_MILLIS,
        0,
        { action -> postDelayed(0, action) },
        postDelayed,
        nowMillis,
        listener,
    )

    /** Starts reading. Failed calls are retried until they succeed. */
    public fun start() {
        follower.start()
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
        /**
         * How long a long poll waits for updates. A changed configuration must be in force within 2 s, also if several
         * polls in a row get no answer.
         */
        const val POLL_WAIT_MILLIS = 500L
    }
}

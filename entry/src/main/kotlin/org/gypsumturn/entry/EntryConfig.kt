// Everything about an entry that its settings decide.

package org.gypsumturn.entry

import org.gypsumturn.entry.http.CallerLimits
import org.gypsumturn.entry.http.RequestSizes
import org.gypsumturn.entry.ledger.LedgerSettings
import org.gypsumturn.entry.target.TargetLimits
import org.gypsumturn.request.DispatchSettings
import org.gypsumturn.runtime.settings.HostAndPort

/**
 * Retention of the rows of keyed requests.
 *
 * @property millis time for which a key is remembered after the last write of its row
 * @property pageRows rows that one step of the sweep reads
 * @property stepMillis time between two steps
 */
internal data class RetentionSettings(val millis: Long, val pageRows: Int, val stepMillis: Long)

/**
 * Configuration of an entry.
 *
 * @property maxOpen requests that may be open at this entry at once
 * @property maxHeldBytes bytes that the bodies of open requests may have together
 * @property maxConnections connections of callers that may be open at once
 * @property jobWaitMillis longest time that a job waits to be recorded
 * @property balancerLagMillis time that the balancer needs to see that the entry is not ready
 * @property instanceListMillis time between two looks at the platform's instance list
 */
internal data class EntryConfig(
    val address: HostAndPort,
    val sizes: RequestSizes,
    val callerLimits: CallerLimits,
    val targetLimits: TargetLimits,
    val dispatch: DispatchSettings,
    val ledger: LedgerSettings,
    val retention: RetentionSettings,
    val maxConnections: Int,
    val maxOpen: Int,
    val maxHeldBytes: Long,
    val jobWaitMillis: Long,
    val eventLoops: Int,
    val balancerLagMillis: Long,
    val instanceListMillis: Long,
)

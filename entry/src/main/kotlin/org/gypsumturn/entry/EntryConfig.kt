// The configuration of an entry, as read from its settings.

package org.gypsumturn.entry

import org.gypsumturn.entry.http.CallerLimits
import org.gypsumturn.entry.http.RequestSizeLimits
import org.gypsumturn.entry.ledger.LedgerSettings
import org.gypsumturn.entry.target.TargetLimits
import org.gypsumturn.request.DispatchSettings
import org.gypsumturn.runtime.settings.HostAndPort

/**
 * Retention of the rows of keyed requests.
 *
 * @property millis time for which the row of a keyed request is kept after it was last written
 * @property pageRows number of rows that one step of the sweep reads
 * @property stepMillis interval between two steps of the sweep
 */
internal data class RetentionSettings(val millis: Long, val pageRows: Int, val stepMillis: Long)

/**
 * Configuration of an entry.
 *
 * @property address address at which callers are served
 * @property maxConnections largest number of connections that callers may have open at once
 * @property maxOpenRequests largest number of requests that may be open at this entry at once
 * @property maxHeldBytes largest total size of the bodies of the open requests, in bytes
 * @property jobWaitMillis longest time that a request about a job waits in the queue
 * @property eventLoops number of threads that read and write connections
 * @property balancerLagMillis time that the load balancer needs to notice that the entry is not ready
 * @property instanceListMillis interval at which the platform's instance list is polled
 */
internal data class EntryConfig(
    val address: HostAndPort,
    val requestSizeLimits: RequestSizeLimits,
    val callerLimits: CallerLimits,
    val targetLimits: TargetLimits,
    val dispatch: DispatchSettings,
    val ledger: LedgerSettings,
    val retention: RetentionSettings,
    val maxConnections: Int,
    val maxOpenRequests: Int,
    val maxHeldBytes: Long,
    val jobWaitMillis: Long,
    val eventLoops: Int,
    val balancerLagMillis: Long,
    val instanceListMillis: Long,
)

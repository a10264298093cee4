// Settings of the request dispatcher, with their defaults.

package org.gypsumturn.request

/** Settings of [RequestDispatcher]. */
public data class DispatchSettings(
    public val maxQueuedTotal: Int = 10_000,
    public val retryBudgetShare: Double = 0.1,
    public val maxAttempts: Int = 3,
    public val peerReportIntervalMillis: Long = 100,
    public val peerLapseMillis: Long = 2_000,
    public val slowStartMillis: Long = 10_000,
    public val ejectionMillis: Long = 5_000,
    public val maxEjectedShare: Double = 0.5,
)

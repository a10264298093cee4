// Settings of the request dispatcher, with their defaults.

package org.gypsumturn.request

/** How the entries divide the slots of an executor among themselves. */
public enum class SlotScheme {
    /** Each entry uses any slot; the executor refuses what exceeds its slots. */
    UNCOORDINATED,

    /** Each entry of the view has an equal, fixed part of the slots. */
    STATIC,

    /** Entries exchange [SlotReport]s, and each holds a part that follows its demand. */
    GRANTED,
}

/**
 * Settings of [RequestDispatcher].
 *
 * @property maxQueuedTotal requests that one entry holds at once, over all pools
 * @property retryBudgetShare retries per first attempt, for each pool
 * @property maxAttempts exchanges per request
 * @property peerReportIntervalMillis time between two slot reports while there is demand
 * @property quietReportIntervalMillis time between two slot reports while no entry has demand
 * @property peerLapseMillis age at which a peer's report, and with it its grants, no longer counts
 * @property slowStartMillis time over which a fresh target's slots are opened
 * @property ejectionMillis time for which a faulty target gets nothing
 * @property maxEjectedShare part of a pool that may be ejected at once
 * @property overloadPauseMillis time for which a target gets nothing from this entry after it refused for lack of
 *   slots; doubled with each refusal that follows another, up to [maxOverloadPauseMillis]
 * @property maxOverloadPauseMillis longest such time
 * @property leavingNoticeMillis time for which a notice that a target is leaving counts without the view's
 * confirmation
 */
public data class DispatchSettings(
    public val maxQueuedTotal: Int = 10_000,
    public val retryBudgetShare: Double = 0.1,
    public val maxAttempts: Int = 3,
    public val peerReportIntervalMillis: Long = 100,
    public val quietReportIntervalMillis: Long = 700,
    public val peerLapseMillis: Long = 2_000,
    public val slowStartMillis: Long = 10_000,
    public val ejectionMillis: Long = 5_000,
    public val maxEjectedShare: Double = 0.5,
    public val slotScheme: SlotScheme = SlotScheme.GRANTED,
    public val overloadPauseMillis: Long = 20,
    public val maxOverloadPauseMillis: Long = 640,
    public val leavingNoticeMillis: Long = 600_000,
)

// Settings of the request dispatcher, with their defaults.

package org.gypsumturn.request

/** How the entries divide the slots of an executor among themselves. */
public enum class SlotScheme {
    /** Each entry may use every slot; the executor refuses requests beyond its number of slots. */
    UNCOORDINATED,

    /** Each entry of the view gets an equal, fixed share of the slots. */
    STATIC,

    /** Entries exchange [SlotReport]s, and each gets a share of the slots that follows its demand. */
    GRANTED,
}

/**
 * Settings of [RequestDispatcher].
 *
 * @property maxQueuedTotal largest number of accepted requests at one entry, over all pools
 * @property retryBudgetShare allowed retries per first attempt, for each pool
 * @property maxAttempts largest number of exchanges per request
 * @property peerReportIntervalMillis time between two slot reports while any entry has demand
 * @property idleReportIntervalMillis time between two slot reports while no entry has demand
 * @property peerLapseMillis age at which the report of another entry, and the grants based on it, expire
 * @property slowStartMillis time over which the slots of a new target are opened gradually
 * @property ejectionMillis time for which a faulty target gets no exchanges after its first ejection
 * @property maxEjectedShare largest share of a pool that may be ejected at the same time
 * @property slotScheme how the entries divide the slots of an executor
 * @property overloadPauseMillis time for which this entry sends nothing to a target after the target refused for lack
 *   of slots; each consecutive refusal doubles it, up to [maxOverloadPauseMillis]
 * @property maxOverloadPauseMillis longest pause after consecutive refusals
 * @property leavingNoticeMillis time after which a notice that a target is leaving expires, if no view confirms it
 */
public data class DispatchSettings(
    public val maxQueuedTotal: Int = 10_000,
    public val retryBudgetShare: Double = 0.1,
    public val maxAttempts: Int = 3,
    public val peerReportIntervalMillis: Long = 100,
    public val idleReportIntervalMillis: Long = 700,
    public val peerLapseMillis: Long = 2_000,
    public val slowStartMillis: Long = 10_000,
    public val ejectionMillis: Long = 5_000,
    public val maxEjectedShare: Double = 0.5,
    public val slotScheme: SlotScheme = SlotScheme.GRANTED,
    public val overloadPauseMillis: Long = 20,
    public val maxOverloadPauseMillis: Long = 640,
    public val leavingNoticeMillis: Long = 600_000,
)

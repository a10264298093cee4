// What is simulated: the fleet, the demand and the faults of one run.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.Priority
import org.gypsumturn.request.DispatchSettings
import org.gypsumturn.request.SlotScheme

/** The ways to divide the slots of executors among entries. */
internal enum class Scheme(val slotScheme: SlotScheme) {
    /** Each entry uses any slot; executors refuse what exceeds them. */
    UNCOORDINATED(SlotScheme.UNCOORDINATED),

    /** Equal fixed parts. */
    STATIC(SlotScheme.STATIC),

    /** Parts that follow demand. */
    GRANTED(SlotScheme.GRANTED),

    /** Each executor belongs to one entry, to which the others forward. */
    OWNED(SlotScheme.UNCOORDINATED),
}

/** Share of the requests that have [priority], and the time that their callers wait. */
internal data class RequestClass(
    val priority: Priority,
    val share: Double,
    val deadlineMillis: Long,
    val keyedShare: Double = 0.0,
)

internal val MIXED_CLASSES: List<RequestClass> = listOf(
    RequestClass(Priority.URGENT, share = 0.1, deadlineMillis = 5_000),
    RequestClass(Priority.NORMAL, share = 0.4, deadlineMillis = 10_000),
    RequestClass(Priority.BATCH, share = 0.5, deadlineMillis = 30_000),
)

/** Faults that strike exchanges, callers and the intent store at random. */
internal data class RandomFaults(
    val silentShare: Double = 0.0,
    val resetShare: Double = 0.0,
    val leaverShare: Double = 0.0,
    val repeatShare: Double = 0.0,
    val lostIntentAnswerShare: Double = 0.0,
)

/**
 * One run.
 *
 * @property loadOf demand of a service at a time (seconds), as a multiple of what its pool holds
 * @property meanServiceMillis mean run time of a request on an executor; log-normal
 * @property events what happens to the world at given times (seconds)
 */
internal data class Scenario(
    val scheme: Scheme = Scheme.GRANTED,
    val seed: Long,
    val seconds: Int,
    val entries: Int = 9,
    val executorsOf: List<Int> = listOf(6),
    val loadOf: (service: Int, atSeconds: Double) -> Double,
    val classes: List<RequestClass> = MIXED_CLASSES,
    val meanServiceMillis: Double = 200.0,
    val settings: DispatchSettings = DispatchSettings(),
    val faults: RandomFaults = RandomFaults(),
    val dataCentres: Int = 3,
    val events: List<Pair<Double, World.() -> Unit>> = emptyList(),
) {
    /** The settings with the slots divided as [scheme] says; each scheme with the pause that serves it best. */
    val dispatchSettings: DispatchSettings
        get() {
            val divided = settings.copy(slotScheme = scheme.slotScheme)
            val pauseMillis = settings.overloadPauseMillis
            return if (scheme == Scheme.UNCOORDINATED) divided.copy(maxOverloadPauseMillis = pauseMillis) else divided
        }
}

internal const val SLOTS_PER_EXECUTOR: Int = 8

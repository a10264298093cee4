// The input of one simulation run: the fleet, the demand and the faults.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.Priority
import org.gypsumturn.request.DispatchSettings
import org.gypsumturn.request.SlotScheme

/** The ways to divide the slots of executors among entries. */
internal enum class Scheme(val slotScheme: SlotScheme) {
    /** Each entry uses any slot; an executor refuses requests for which it has no free slot. */
    UNCOORDINATED(SlotScheme.UNCOORDINATED),

    /** Each entry has an equal, fixed share of the slots. */
    STATIC(SlotScheme.STATIC),

    /** Each entry has a share of the slots that follows its demand. */
    GRANTED(SlotScheme.GRANTED),

    /** Each executor belongs to one entry, to which the other entries forward requests. */
    OWNED(SlotScheme.UNCOORDINATED),
}

/**
 * A class of requests.
 *
 * @property share share of all requests that are of this class
 * @property deadlineMillis time that a caller waits for a reply
 * @property keyedShare share of the requests of this class that carry an idempotency key
 */
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

/** Random faults, each as the share of exchanges, callers or answers of the intent store that it hits. */
internal data class RandomFaults(
    val silentShare: Double = 0.0,
    val resetShare: Double = 0.0,
    val leavingCallerShare: Double = 0.0,
    val repeatShare: Double = 0.0,
    val lostIntentAnswerShare: Double = 0.0,
)

/**
 * The input of one run.
 *
 * @property executorsPerService number of executors of each service
 * @property loadAt demand of a service at a time in seconds, as a multiple of the capacity of its pool
 * @property meanRunMillis mean run time of a request on an executor; run times are log-normal
 * @property events changes to the simulation, each at a time in seconds
 */
internal data class Scenario(
    val scheme: Scheme = Scheme.GRANTED,
    val seed: Long,
    val seconds: Int,
    val entries: Int = 9,
    val executorsPerService: List<Int> = listOf(6),
    val loadAt: (service: Int, atSeconds: Double) -> Double,
    val classes: List<RequestClass> = MIXED_CLASSES,
    val meanRunMillis: Double = 200.0,
    val settings: DispatchSettings = DispatchSettings(),
    val faults: RandomFaults = RandomFaults(),
    val dataCentres: Int = 3,
    val events: List<Pair<Double, RequestSimulation.() -> Unit>> = emptyList(),
) {
    /**
     * [settings] with the slot scheme of [scheme]. The uncoordinated scheme works best if the pause after a
     * refusal does not grow, so its longest pause is the first one.
     */
    val dispatchSettings: DispatchSettings
        get() {
            val divided = settings.copy(slotScheme = scheme.slotScheme)
            val pauseMillis = settings.overloadPauseMillis
            return if (scheme == Scheme.UNCOORDINATED) divided.copy(maxOverloadPauseMillis = pauseMillis) else divided
        }
}

internal const val SLOTS_PER_EXECUTOR: Int = 8

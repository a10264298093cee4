// Admission control. A request that cannot be started in time is refused at once, so that the caller can go elsewhere
// and no slot is used for an answer that arrives too late.

package org.gypsumturn.request

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Service
import org.gypsumturn.model.TeamId

private const val MIN_RETRY_AFTER_MILLIS = 100L
private const val MAX_RETRY_AFTER_MILLIS = 30_000L

/**
 * Load of the pool that a request is for.
 *
 * @property queued number of queued requests that are at least as urgent
 * @property expectedWaitMillis estimated time until a new request would start
 * @property serviceMillis time within which nearly all exchanges end
 * @property entryFull whether this entry has reached its limit of requests and none of them can be displaced
 */
internal data class QueueLoad(
    val queued: Int,
    val expectedWaitMillis: Double,
    val serviceMillis: Double,
    val entryFull: Boolean = false,
)

/** Admission control of one entry. It counts the accepted requests, in total and for each team. */
internal class Admission(private val settings: DispatchSettings) {
    private val acceptedByTeam = HashMap<TeamId, Int>()
    private var accepted = 0

    /** Whether this entry has reached its limit of accepted requests. */
    val isFull: Boolean get() = accepted >= settings.maxQueuedTotal

    /** Why [request] is refused, or null if it is accepted. */
    fun refusal(
        nowMillis: Long,
        request: ArrivedRequest,
        service: Service,
        view: FleetView,
        load: QueueLoad,
    ): Failure? {
        val remainingMillis = request.deadlineMillis - nowMillis
        val team = request.team?.let { view.teams[it] }
        val teamLimit = team?.maxRequestsInFlight ?: Int.MAX_VALUE
        return when {
            remainingMillis <= 0 -> timeoutFailure()

            request.team != null && acceptedByTeam.getOrDefault(request.team, 0) >= teamLimit ->
                overloadFailure("the team's requests in flight are at their limit", load)

            load.queued >= service.maxQueued -> overloadFailure("the queue is full", load)

            load.entryFull -> overloadFailure("this entry holds all it can", load)

            load.expectedWaitMillis > 0 && load.expectedWaitMillis + load.serviceMillis > remainingMillis ->
                overloadFailure("the queue is too long for the deadline", load)

            else -> null
        }
    }

    fun accept(request: ArrivedRequest) {
        accepted++
        request.team?.let { acceptedByTeam.merge(it, 1, Int::plus) }
    }

    /** Records that an accepted request has ended. */
    fun release(request: ArrivedRequest) {
        accepted--
        request.team?.let { team ->
            acceptedByTeam.computeIfPresent(team) { _, count -> (count - 1).takeIf { it > 0 } }
        }
    }

    private fun overloadFailure(message: String, load: QueueLoad): Failure {
        val retryAfter = load.expectedWaitMillis.toLong().coerceIn(MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS)
        return Failure(FailureKind.OVERLOADED, message, retryAfter)
    }
}

internal fun timeoutFailure(): Failure = Failure(FailureKind.TIMEOUT, "the deadline passed")

internal fun busyFailure(): Failure =
    Failure(FailureKind.OVERLOADED, "the targets refused for lack of capacity", MIN_RETRY_AFTER_MILLIS)

// Whether an arriving request is accepted. What cannot be started in time is refused at once, so that the caller can
// go elsewhere and no slot is spent on an answer that nobody waits for.

package org.gypsumturn.request

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Service
import org.gypsumturn.model.TeamId

private const val MIN_RETRY_AFTER_MILLIS = 100L
private const val MAX_RETRY_AFTER_MILLIS = 30_000L

/**
 * What admission knows of the pool that a request is for.
 *
 * @property entryFull whether this entry holds all it can, and nothing less urgent that could be displaced
 * @property queued requests that wait and are at least as urgent
 * @property serviceMillis time within which nearly all exchanges end
 */
internal data class PoolLoad(
    val queued: Int,
    val expectedWaitMillis: Double,
    val serviceMillis: Double,
    val entryFull: Boolean = false,
)

/** Admission of requests at one entry. Counts the accepted requests of each team. */
internal class Admission(private val settings: DispatchSettings) {
    private val acceptedByTeam = HashMap<TeamId, Int>()
    private var accepted = 0

    /** Whether this entry holds all that it can. */
    val isFull: Boolean get() = accepted >= settings.maxQueuedTotal

    /** Why [request] is refused, or null if it is accepted. */
    fun refusal(
        nowMillis: Long,
        request: ArrivedRequest,
        service: Service,
        view: FleetView,
        load: PoolLoad,
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

    /** Notes that an accepted request ended. */
    fun release(request: ArrivedRequest) {
        accepted--
        request.team?.let { team ->
            acceptedByTeam.computeIfPresent(team) { _, count -> (count - 1).takeIf { it > 0 } }
        }
    }

    private fun overloadFailure(message: String, load: PoolLoad): Failure {
        val retryAfter = load.expectedWaitMillis.toLong().coerceIn(MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS)
        return Failure(FailureKind.OVERLOADED, message, retryAfter)
    }
}

internal fun timeoutFailure(): Failure = Failure(FailureKind.TIMEOUT, "the deadline passed")

internal fun busyFailure(): Failure =
    Failure(FailureKind.OVERLOADED, "the targets refused for lack of capacity", MIN_RETRY_AFTER_MILLIS)

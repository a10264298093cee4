// Decides who is at fault when exchanges fail: a single connection, a target, or the path to a whole data centre.

package org.gypsumturn.request

import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureKind

/** Time within which silent exchanges count as happening at once. */
private const val SILENCE_WINDOW_MILLIS = 10_000L

/** Factor by which an outlier's error rate exceeds that of the rest of its pool. */
private const val OUTLIER_FACTOR = 2.0

/** HTTP statuses from here on are the target's fault. */
private const val FIRST_SERVER_ERROR = 500

/** Judges targets and paths by the ends of exchanges. */
internal class FaultJudge(private val settings: DispatchSettings, private val targets: TargetTable) {
    private val pathSuspectUntil = HashMap<DataCentreId, Long>()

    /** Whether the path to [target]'s data centre is suspected, so that others are preferred. */
    fun pathSuspected(nowMillis: Long, target: Target): Boolean =
        nowMillis < (pathSuspectUntil[target.instance.domain.dataCentre] ?: return false)

    /** Takes note of how an exchange with [target] ended. */
    fun ended(nowMillis: Long, target: Target, result: ExchangeResult) {
        when (result) {
            is ExchangeResult.Answered -> answered(nowMillis, target, result)
            is ExchangeResult.NotSent -> notSent(nowMillis, target, result)
            is ExchangeResult.Unanswered -> if (result.silent) silent(nowMillis, target) else failed(nowMillis, target)
        }
    }

    // What this entry may not send tells nothing about the target.
    private fun notSent(nowMillis: Long, target: Target, result: ExchangeResult.NotSent) {
        if (result.failure.kind != FailureKind.NOT_READY) failed(nowMillis, target)
    }

    private fun answered(nowMillis: Long, target: Target, result: ExchangeResult.Answered) {
        pathSuspectUntil.remove(target.instance.domain.dataCentre)
        if (result.status >= FIRST_SERVER_ERROR && !result.overloaded) {
            failed(nowMillis, target)
        } else {
            target.health.answered()
        }
    }

    private fun failed(nowMillis: Long, target: Target) {
        target.health.failed()
        if (target.health.suspectedFaulty && isOutlier(target)) ejectWithin(nowMillis, target)
    }

    private fun silent(nowMillis: Long, target: Target) {
        target.health.silent(nowMillis)
        val dataCentre = target.instance.domain.dataCentre
        if (mostAreSilent(nowMillis, dataCentre)) {
            pathSuspectUntil[dataCentre] = nowMillis + settings.ejectionMillis
            targets.inDataCentre(dataCentre).filter { it.ejectedForSilence }.forEach { it.acquit(nowMillis) }
        } else if (target.health.suspectedSilent) {
            target.ejectedForSilence = ejectWithin(nowMillis, target)
        }
    }

    private fun mostAreSilent(nowMillis: Long, dataCentre: DataCentreId): Boolean {
        val inCentre = targets.inDataCentre(dataCentre)
        val silent = inCentre.count { it.silentSince(nowMillis - SILENCE_WINDOW_MILLIS) }
        return silent >= 2 && silent * 2 > inCentre.size
    }

    private fun Target.silentSince(sinceMillis: Long): Boolean =
        health.lastSilentMillis >= sinceMillis && (health.silentSinceAnswer > 0 || ejectedForSilence)

    private fun Target.acquit(nowMillis: Long) {
        ejectedForSilence = false
        health.acquit(nowMillis)
    }

    private fun isOutlier(target: Target): Boolean {
        val others = targets.eligible(target.instance.pool).filter { it !== target }
        if (others.isEmpty()) return false
        val othersRate = others.sumOf { it.health.errorRate } / others.size
        return target.health.errorRate >= OUTLIER_FACTOR * othersRate
    }

    /** Ejects [target] unless too much of its pool is ejected already. */
    private fun ejectWithin(nowMillis: Long, target: Target): Boolean {
        if (target.health.isEjected(nowMillis)) return false
        val members = targets.eligible(target.instance.pool)
        val ejected = members.count { it.health.isEjected(nowMillis) }
        if (ejected + 1 > settings.maxEjectedShare * members.size) return false
        target.health.eject(nowMillis, settings.ejectionMillis)
        target.warmSinceMillis = target.health.ejectedUntilMillis
        return true
    }
}

// Detects from failed exchanges whether a single connection, a target or the network path to a whole data centre is at
// fault.

package org.gypsumturn.request

import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureKind

/** Silent exchanges within this time of each other count as simultaneous. */
private const val SILENCE_WINDOW_MILLIS = 10_000L

/** A target is an outlier if its error rate is at least this multiple of the mean rate of the other targets. */
private const val OUTLIER_FACTOR = 2.0

/** HTTP statuses from here on are failures of the target. */
private const val FIRST_SERVER_ERROR = 500

/** Ejects targets and suspects network paths, based on the results of exchanges. */
internal class TargetFaultDetector(private val settings: DispatchSettings, private val targets: TargetTable) {
    private val pathSuspectedUntilMillis = HashMap<DataCentreId, Long>()

    /**
     * Whether the network path to the data centre of [target] is suspected, so that targets elsewhere are preferred.
     */
    fun isPathSuspected(nowMillis: Long, target: Target): Boolean =
        nowMillis < (pathSuspectedUntilMillis[target.instance.domain.dataCentre] ?: return false)

    fun recordResult(nowMillis: Long, target: Target, result: ExchangeResult) {
        when (result) {
            is ExchangeResult.Answered -> recordAnswer(nowMillis, target, result)

            is ExchangeResult.NotSent -> recordNotSent(nowMillis, target, result)

            is ExchangeResult.Unanswered ->
                if (result.silent) recordSilence(nowMillis, target) else recordFailure(nowMillis, target)
        }
    }

    // NOT_READY means that this entry was not allowed to send, which says nothing about the target.
    private fun recordNotSent(nowMillis: Long, target: Target, result: ExchangeResult.NotSent) {
        if (result.failure.kind != FailureKind.NOT_READY) recordFailure(nowMillis, target)
    }

    private fun recordAnswer(nowMillis: Long, target: Target, result: ExchangeResult.Answered) {
        pathSuspectedUntilMillis.remove(target.instance.domain.dataCentre)
        if (result.status >= FIRST_SERVER_ERROR && !result.overloaded) {
            recordFailure(nowMillis, target)
        } else {
            target.health.recordSuccess()
        }
    }

    private fun recordFailure(nowMillis: Long, target: Target) {
        target.health.recordFailure()
        if (target.health.isSuspectedFaulty && isOutlier(target)) ejectIfAllowed(nowMillis, target)
    }

    private fun recordSilence(nowMillis: Long, target: Target) {
        target.health.recordSilence(nowMillis)
        val dataCentre = target.instance.domain.dataCentre
        if (mostAreSilent(nowMillis, dataCentre)) {
            pathSuspectedUntilMillis[dataCentre] = nowMillis + settings.ejectionMillis
            targets.inDataCentre(dataCentre)
                .filter { it.ejectedForSilence }
                .forEach { it.cancelSilenceEjection(nowMillis) }
        } else if (target.health.isSuspectedSilent) {
            target.ejectedForSilence = ejectIfAllowed(nowMillis, target)
        }
    }

    private fun mostAreSilent(nowMillis: Long, dataCentre: DataCentreId): Boolean {
        val members = targets.inDataCentre(dataCentre)
        val silent = members.count { it.wasSilentSince(nowMillis - SILENCE_WINDOW_MILLIS) }
        return silent >= 2 && silent * 2 > members.size
    }

    private fun Target.wasSilentSince(sinceMillis: Long): Boolean =
        health.lastSilentMillis >= sinceMillis && (health.silentSinceAnswer > 0 || ejectedForSilence)

    private fun Target.cancelSilenceEjection(nowMillis: Long) {
        ejectedForSilence = false
        health.cancelEjection(nowMillis)
    }

    private fun isOutlier(target: Target): Boolean {
        val others = targets.eligible(target.instance.pool).filter { it !== target }
        if (others.isEmpty()) return false
        val othersRate = others.sumOf { it.health.errorRate } / others.size
        return target.health.errorRate >= OUTLIER_FACTOR * othersRate
    }

    /** Ejects [target] unless too large a part of its pool is ejected already. Returns whether it was ejected. */
    private fun ejectIfAllowed(nowMillis: Long, target: Target): Boolean {
        if (target.health.isEjected(nowMillis)) return false
        val members = targets.eligible(target.instance.pool)
        val ejected = members.count { it.health.isEjected(nowMillis) }
        if (ejected + 1 > settings.maxEjectedShare * members.size) return false
        target.health.eject(nowMillis, settings.ejectionMillis)
        target.slowStartSinceMillis = target.health.ejectedUntilMillis
        return true
    }
}

// Simulates the platform's table for the intent rows of keyed requests, with outages and lost answers.

package org.gypsumturn.bench.requests

import org.apache.commons.rng.UniformRandomProvider
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.Verdict
import org.gypsumturn.request.IntentOutcome

private const val COMMIT_MICROS = 8 * MICROS_PER_MILLI

/** Intent rows by key. An outcome that cannot be written is lost; its intent row stays. */
internal class SimulatedIntentStore(
    private val eventLoop: VirtualTimeLoop,
    private val random: UniformRandomProvider,
    private val lostAnswerShare: Double,
) {
    private class Row(val owner: Call, var isOutcomeRecorded: Boolean = false)

    private val rows = HashMap<IdempotencyKey, Row>()

    var isDown: Boolean = false

    /** Records the intent of [call] and passes the outcome to [onOutcome]. */
    fun record(call: Call, onOutcome: (IntentOutcome) -> Unit) {
        eventLoop.schedule(COMMIT_MICROS) {
            val outcome = commit(call)
            val isAnswerLost = outcome != STORE_DOWN && random.nextDouble() < lostAnswerShare
            eventLoop.schedule(COMMIT_MICROS) {
                onOutcome(if (isAnswerLost) IntentOutcome.Unknown(storeFailure("the answer was lost")) else outcome)
            }
        }
    }

    /** Records how [call] ended if the intent row of its key belongs to it. */
    fun recordOutcome(call: Call, verdict: Verdict<*>) {
        eventLoop.schedule(COMMIT_MICROS) {
            val key = call.key ?: return@schedule
            val row = rows[key]
            if (isDown || row == null || row.owner !== call) return@schedule
            when (verdict) {
                is Verdict.Ran -> row.isOutcomeRecorded = true
                is Verdict.NotRun -> rows.remove(key)
                is Verdict.MayHaveRun -> Unit
            }
        }
    }

    fun isAnswered(key: IdempotencyKey?): Boolean = rows[key]?.isOutcomeRecorded == true

    private fun commit(call: Call): IntentOutcome {
        val key = call.key ?: return STORE_DOWN
        val row = rows[key]
        return when {
            isDown -> STORE_DOWN
            row == null -> IntentOutcome.Recorded.also { rows[key] = Row(call) }
            row.isOutcomeRecorded -> IntentOutcome.AlreadyAnswered
            else -> IntentOutcome.AlreadyStarted
        }
    }

    private companion object {
        val STORE_DOWN = IntentOutcome.NotRecorded(storeFailure("the intent store is down"))

        fun storeFailure(message: String) = Failure(FailureKind.UNREACHABLE, message)
    }
}

// The intent rows of keyed requests, as the platform's table would keep them, with its outages and lost answers.

package org.gypsumturn.bench.requests

import org.apache.commons.rng.UniformRandomProvider
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.Verdict
import org.gypsumturn.request.IntentOutcome

private const val COMMIT_MICROS = 8 * MICROS_PER_MILLI

/** Intent rows. An outcome that cannot be written is lost, and its intent stands. */
internal class Intents(
    private val simulator: Simulator,
    private val random: UniformRandomProvider,
    private val lostAnswerShare: Double,
) {
    private class Row(val owner: Call, var answered: Boolean = false)

    private val rows = HashMap<IdempotencyKey, Row>()

    var down: Boolean = false

    /** Records the intent of [call] and tells how that ended. */
    fun record(call: Call, ended: (IntentOutcome) -> Unit) {
        simulator.after(COMMIT_MICROS) {
            val outcome = commit(call)
            val lost = outcome != STORE_DOWN && random.nextDouble() < lostAnswerShare
            simulator.after(COMMIT_MICROS) {
                ended(if (lost) IntentOutcome.Unknown(storeFailure("the answer was lost")) else outcome)
            }
        }
    }

    /** Records how [call] ended, if its intent is the one that stands. */
    fun recordOutcome(call: Call, verdict: Verdict<*>) {
        simulator.after(COMMIT_MICROS) {
            val key = call.key ?: return@after
            val row = rows[key]
            if (down || row == null || row.owner !== call) return@after
            when (verdict) {
                is Verdict.Ran -> row.answered = true
                is Verdict.NotRun -> rows.remove(key)
                is Verdict.MayHaveRun -> Unit
            }
        }
    }

    fun isAnswered(key: IdempotencyKey?): Boolean = rows[key]?.answered == true

    private fun commit(call: Call): IntentOutcome {
        val key = call.key ?: return STORE_DOWN
        val row = rows[key]
        return when {
            down -> STORE_DOWN
            row == null -> IntentOutcome.Recorded.also { rows[key] = Row(call) }
            row.answered -> IntentOutcome.AlreadyAnswered
            else -> IntentOutcome.AlreadyStarted
        }
    }

    private companion object {
        val STORE_DOWN = IntentOutcome.NotRecorded(storeFailure("the store is down"))

        fun storeFailure(message: String) = Failure(FailureKind.UNREACHABLE, message)
    }
}

// Answers of the health routes.

package org.gypsumturn.entry

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.entry.http.Answers
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.http.HttpStatus
import org.gypsumturn.view.Readiness

@Serializable
internal data class HealthBody(val ok: Boolean, val reason: String)

/** Tells whether the process lives and whether it takes new work. */
internal class Health(private val readiness: () -> Readiness) {
    /** The process answers, so it lives. */
    fun live(): HttpAnswer = answer(Readiness(true, ""))

    /** 200 while new work is taken, 503 otherwise. */
    fun ready(): HttpAnswer = answer(readiness())

    private fun answer(state: Readiness): HttpAnswer {
        val status = if (state.ready) HttpStatus.OK else HttpStatus.UNAVAILABLE
        return Answers.json(status, Json.encodeToString(HealthBody.serializer(), HealthBody(state.ready, state.reason)))
    }
}

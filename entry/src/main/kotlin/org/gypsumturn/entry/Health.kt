// Answers the health checks of an entry.

package org.gypsumturn.entry

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.entry.http.Answers
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.http.HttpStatus
import org.gypsumturn.view.Readiness

/** JSON body of the answer to a health check. */
@Serializable
internal data class HealthBody(val ok: Boolean, val reason: String)

/** Builds the answers to the liveness and readiness checks. */
internal class Health(private val readiness: () -> Readiness) {
    /** Always 200: a process that answers is alive. */
    fun live(): HttpAnswer = healthAnswer(Readiness(true, ""))

    /** 200 while this entry takes new work, otherwise 503 with the reason. */
    fun ready(): HttpAnswer = healthAnswer(readiness())

    private fun healthAnswer(state: Readiness): HttpAnswer {
        val status = if (state.ready) HttpStatus.OK else HttpStatus.UNAVAILABLE
        return Answers.json(status, Json.encodeToString(HealthBody.serializer(), HealthBody(state.ready, state.reason)))
    }
}

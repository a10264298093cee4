// The row that a keyed request has in the table: what was asked, who is running it, and how it ended.

package org.gypsumturn.entry.ledger

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.gypsumturn.entry.http.Header
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.http.ServiceRequest
import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.ServiceId
import org.gypsumturn.ports.RowKey
import java.security.MessageDigest
import java.util.Base64

/** How far a keyed request has come. A request that was certainly not run has no row. */
@Serializable
internal enum class IntentState { STARTED, ANSWERED, MAY_HAVE_RUN }

/** A recorded header field. */
@Serializable
internal data class RecordedHeader(val name: String, val value: String)

/** A recorded answer; [body] is in Base64. */
@Serializable
internal data class RecordedAnswer(val status: Int, val headers: List<RecordedHeader>, val body: String)

/**
 * The row of a keyed request.
 *
 * @property hash digest of the request, in Base64
 * @property attempt number of the request at its entry; with [node] it tells whose row this is
 * @property atMillis time of the last write, in milliseconds since the epoch
 * @property answer the whole answer, or null where none is known or it is too large to be kept
 */
@Serializable
internal data class IntentRow(
    val hash: String,
    val node: NodeId,
    val attempt: Long,
    val state: IntentState,
    val atMillis: Long,
    val answer: RecordedAnswer? = null,
) {
    /** Whether this row was written for the same request as [other]. */
    fun sameAttempt(other: IntentRow): Boolean = node == other.node && attempt == other.attempt
}

/** Keys and texts of the rows. */
internal object IntentRows {
    const val PREFIX = "intent/"
    private val json = Json { ignoreUnknownKeys = true }

    fun keyOf(service: ServiceId, key: IdempotencyKey): RowKey = RowKey("$PREFIX$service/$key")

    fun encode(row: IntentRow): String = json.encodeToString(row)

    fun decode(text: String): IntentRow = json.decodeFromString(text)

    /** The SHA-256 digest of method, path, content type and body, each with its length. */
    fun hash(request: ServiceRequest): String {
        val contentType = request.headers.firstOrNull { it.name.equals("Content-Type", ignoreCase = true) }?.value
        val digest = MessageDigest.getInstance("SHA-256")
        val parts = listOf(request.method, request.uri, contentType.orEmpty()).map { it.toByteArray() } + request.body
        parts.forEach { part ->
            digest.update("${part.size}:".toByteArray())
            digest.update(part)
        }
        return Base64.getEncoder().encodeToString(digest.digest())
    }

    /** [answer] as it is recorded, or null if its body is larger than [maxBytes]. */
    fun record(answer: HttpAnswer, maxBytes: Int): RecordedAnswer? {
        if (answer.body.size > maxBytes) return null
        val headers = answer.headers.map { RecordedHeader(it.name, it.value) }
        return RecordedAnswer(answer.status, headers, Base64.getEncoder().encodeToString(answer.body))
    }

    /** The answer that [recorded] stands for. */
    fun restore(recorded: RecordedAnswer): HttpAnswer {
        val headers = recorded.headers.map { Header(it.name, it.value) }
        return HttpAnswer(recorded.status, headers, Base64.getDecoder().decode(recorded.body))
    }
}

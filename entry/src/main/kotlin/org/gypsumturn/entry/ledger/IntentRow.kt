// The row of a keyed request in the table. It holds a digest of the request, the entry that runs it, and the outcome.

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

/** The state of a keyed request that is or may have been run. A request that was certainly not run has no row. */
@Serializable
internal enum class IntentState { STARTED, ANSWERED, MAY_HAVE_RUN }

/** A header field of a recorded answer. */
@Serializable
internal data class RecordedHeader(val name: String, val value: String)

/** A recorded answer of a target; [body] is in Base64. */
@Serializable
internal data class RecordedAnswer(val status: Int, val headers: List<RecordedHeader>, val body: String)

/**
 * The row of a keyed request.
 *
 * @property hash digest of the request, in Base64; a repeat with another digest has a different payload
 * @property node the entry that runs the request
 * @property attempt id of the request at its entry; [node] and [attempt] together identify the owner of the row
 * @property atMillis time of the last write, in milliseconds since the epoch
 * @property answer the complete answer; null if there is none or it is too large to be recorded
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
    /** Whether this row was written by the same attempt of a request as [other]. */
    fun sameAttempt(other: IntentRow): Boolean = node == other.node && attempt == other.attempt
}

/** Builds the keys of the rows of keyed requests, and encodes and decodes their values. */
internal object IntentRowCodec {
    const val PREFIX = "intent/"
    private val json = Json { ignoreUnknownKeys = true }

    fun keyOf(service: ServiceId, key: IdempotencyKey): RowKey = RowKey("$PREFIX$service/$key")

    fun encode(row: IntentRow): String = json.encodeToString(row)

    fun decode(text: String): IntentRow = json.decodeFromString(text)

    /** The SHA-256 digest of method, path, content type and body, each preceded by its length. In Base64. */
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

    /** Converts [answer] to its recorded form. Returns null if its body is larger than [maxBytes]. */
    fun encodeAnswer(answer: HttpAnswer, maxBytes: Int): RecordedAnswer? {
        if (answer.body.size > maxBytes) return null
        val headers = answer.headers.map { RecordedHeader(it.name, it.value) }
        return RecordedAnswer(answer.status, headers, Base64.getEncoder().encodeToString(answer.body))
    }

    /** Converts [recorded] back to the answer. */
    fun decodeAnswer(recorded: RecordedAnswer): HttpAnswer {
        val headers = recorded.headers.map { Header(it.name, it.value) }
        return HttpAnswer(recorded.status, headers, Base64.getDecoder().decode(recorded.body))
    }
}

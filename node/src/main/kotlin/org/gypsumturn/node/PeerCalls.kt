// Questions between nodes: a node asks the holder of the control lease for the state of a job or the length of a
// queue.

package org.gypsumturn.node

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Verdict
import org.gypsumturn.transport.Endpoint
import org.gypsumturn.transport.HttpAnswer
import org.gypsumturn.transport.HttpCall
import org.gypsumturn.transport.HttpClient
import org.gypsumturn.transport.HttpStatus
import org.gypsumturn.transport.ServedAnswer
import org.gypsumturn.transport.ServedRequest
import java.net.URLDecoder
import java.net.URLEncoder

private val json = Json { ignoreUnknownKeys = true }

@Serializable
private class JobAnswer(val phase: JobPhase? = null)

@Serializable
private class PendingAnswer(val count: Int)

/** What the holder's own thread answers; null where this process is not the holder or has not read everything yet. */
public interface HolderState {
    /** Asks for a job. */
    public fun jobState(id: JobId, reply: (HolderAnswer?) -> Unit)

    /** Asks for the length of a queue. */
    public fun pendingJobs(queue: QueueId, reply: (Int?) -> Unit)
}

/** Asks the holder: this process, or the one at [holderAddress]. */
public class PeerCalls(
    private val client: HttpClient,
    private val local: HolderState,
    private val holderAddress: () -> HolderAddress,
) : HolderQueries {
    override fun state(id: JobId, timeoutMillis: Long, reply: (HolderAnswer?) -> Unit) {
        ask({ local.jobState(id, reply) }, "$JOB_PATH$id", timeoutMillis, { reply(null) }) { answer ->
            val phase = json.decodeFromString(JobAnswer.serializer(), answer.body.decodeToString()).phase
            reply(phase?.let { HolderAnswer.State(it) } ?: HolderAnswer.NoJob)
        }
    }

    override fun pending(queue: Queue, timeoutMillis: Long, reply: (Int?) -> Unit) {
        val path = PENDING_PATH + URLEncoder.encode(queue.id.value, Charsets.UTF_8)
        ask({ local.pendingJobs(queue.id, reply) }, path, timeoutMillis, { reply(null) }) { answer ->
            reply(json.decodeFromString(PendingAnswer.serializer(), answer.body.decodeToString()).count)
        }
    }

    private fun ask(
        askSelf: () -> Unit,
        path: String,
        timeoutMillis: Long,
        failed: () -> Unit,
        answered: (HttpAnswer) -> Unit,
    ) {
        when (val holder = holderAddress()) {
            HolderAddress.Unknown -> failed()

            HolderAddress.Self -> askSelf()

            is HolderAddress.Peer ->
                client.send(holder.endpoint, "peer", HttpCall("GET", path), timeoutMillis) { verdict ->
                    val answer = (verdict as? Verdict.Ran)?.value
                    if (answer == null || answer.status != HttpStatus.OK) failed() else answered(answer)
                }
        }
    }

    /** Answers a peer's question. */
    public fun handle(request: ServedRequest, reply: (ServedAnswer) -> Unit) {
        val path = request.path
        when {
            path.startsWith(JOB_PATH) -> local.jobState(JobId(path.removePrefix(JOB_PATH))) { answer ->
                reply(answer?.let { served(JobAnswer.serializer(), JobAnswer(phaseOf(it))) } ?: notHolder())
            }

            path.startsWith(PENDING_PATH) -> {
                val queue = QueueId(URLDecoder.decode(path.removePrefix(PENDING_PATH), Charsets.UTF_8))
                local.pendingJobs(queue) { count ->
                    reply(count?.let { served(PendingAnswer.serializer(), PendingAnswer(it)) } ?: notHolder())
                }
            }

            else -> reply(ServedAnswer(HttpStatus.NOT_FOUND, ByteArray(0)))
        }
    }

    private fun phaseOf(answer: HolderAnswer): JobPhase? = (answer as? HolderAnswer.State)?.phase

    private fun <T> served(serializer: KSerializer<T>, value: T) =
        ServedAnswer(HttpStatus.OK, json.encodeToString(serializer, value).encodeToByteArray())

    private fun notHolder() = ServedAnswer(HttpStatus.UNAVAILABLE, ByteArray(0))

    private companion object {
        const val JOB_PATH = "/jobs/"
        const val PENDING_PATH = "/pending/"
    }
}

/** Where the holder of the control lease is. */
public sealed interface HolderAddress {
    /** Nobody is known to hold the lease. */
    public data object Unknown : HolderAddress

    /** This process holds it. */
    public data object Self : HolderAddress

    /** Another process holds it. */
    public data class Peer(public val endpoint: Endpoint) : HolderAddress
}

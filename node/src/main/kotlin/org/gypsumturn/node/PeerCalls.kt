// Queries between nodes. Any node can ask the holder of the control lease for the state of a job, and for the number of
// jobs of a queue that have not been started.

package org.gypsumturn.node

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.WorkspaceId
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

/** The answer to a query for a job of [workspace]. [phase] is null if the lease holder does not have the job. */
@Serializable
private class JobAnswer(
    val phase: JobPhase? = null,
    val workspace: WorkspaceId? = null,
    val acceptsCancellations: Boolean = true,
)

/** The answer to a query for the number of jobs that have not been started. */
@Serializable
private class PendingAnswer(val count: Int)

/**
 * Queries to this process as the lease holder. Each call replies on the control thread, with null if this process does
 * not hold the lease or has not read the stored state yet.
 */
public interface LocalHolderQueries {
    /** Replies with what this process knows of job [id]. */
    public fun queryJobState(id: JobId, reply: (HolderAnswer?) -> Unit)

    /** Replies with the number of jobs of [queue] of which no task has been started. */
    public fun countPendingJobs(queue: QueueId, reply: (Int?) -> Unit)
}

/**
 * Sends queries to the process that holds the lease, which may be this one, and answers the queries of other nodes.
 *
 * @param local answers the queries if this process holds the lease
 * @param holderAddress where the lease holder is at the moment
 * @param runOnCallerThread runs an action on the thread of the queries. [local] replies on another one, and what
 * handles the answer is not safe for use by several threads
 */
public class PeerCalls(
    private val client: HttpClient,
    private val local: LocalHolderQueries,
    private val holderAddress: () -> HolderAddress,
    private val runOnCallerThread: (() -> Unit) -> Unit,
) : HolderQueries {
    override fun queryState(id: JobId, timeoutMillis: Long, reply: (HolderAnswer?) -> Unit) {
        val askLocally = { local.queryJobState(id) { answer -> runOnCallerThread { reply(answer) } } }
        askHolder(askLocally, "$JOB_PATH_PREFIX$id", timeoutMillis, { reply(null) }) { answer ->
            val job = json.decodeFromString(JobAnswer.serializer(), answer.body.decodeToString())
            reply(
                job.phase?.let { HolderAnswer.State(it, job.workspace, job.acceptsCancellations) }
                    ?: HolderAnswer.NoJob(job.acceptsCancellations),
            )
        }
    }

    override fun countPending(queue: Queue, timeoutMillis: Long, reply: (Int?) -> Unit) {
        val path = PENDING_PATH_PREFIX + URLEncoder.encode(queue.id.value, Charsets.UTF_8)
        val askLocally = { local.countPendingJobs(queue.id) { count -> runOnCallerThread { reply(count) } } }
        askHolder(askLocally, path, timeoutMillis, { reply(null) }) { answer ->
            reply(json.decodeFromString(PendingAnswer.serializer(), answer.body.decodeToString()).count)
        }
    }

    private fun askHolder(
        askLocally: () -> Unit,
        path: String,
        timeoutMillis: Long,
        onFailure: () -> Unit,
        onAnswer: (HttpAnswer) -> Unit,
    ) {
        when (val holder = holderAddress()) {
            HolderAddress.Unknown -> onFailure()

            HolderAddress.Self -> askLocally()

            is HolderAddress.Peer ->
                client.send(holder.endpoint, "peer", HttpCall("GET", path), timeoutMillis) { verdict ->
                    val answer = (verdict as? Verdict.Ran)?.value
                    if (answer == null || answer.status != HttpStatus.OK) {
                        onFailure()
                    } else {
                        decodeAnswer(answer, onFailure, onAnswer)
                    }
                }
        }
    }

    private fun decodeAnswer(answer: HttpAnswer, onFailure: () -> Unit, onAnswer: (HttpAnswer) -> Unit) {
        try {
            onAnswer(answer)
        } catch (e: SerializationException) {
            logEvent("peer answer unreadable", "why" to e.message)
            onFailure()
        }
    }

    /**
     * Handles the query [request] of a peer. The status is 503 if this process can't answer as the lease holder, and
     * 404 for an unknown path.
     */
    public fun handle(request: ServedRequest, reply: (ServedAnswer) -> Unit) {
        val path = request.path
        when {
            path.startsWith(JOB_PATH_PREFIX) ->
                local.queryJobState(JobId(path.removePrefix(JOB_PATH_PREFIX))) { answer ->
                    reply(answer?.let { okAnswer(JobAnswer.serializer(), jobAnswerOf(it)) } ?: notHolderAnswer())
                }

            path.startsWith(PENDING_PATH_PREFIX) -> {
                val queue = QueueId(URLDecoder.decode(path.removePrefix(PENDING_PATH_PREFIX), Charsets.UTF_8))
                local.countPendingJobs(queue) { count ->
                    reply(count?.let { okAnswer(PendingAnswer.serializer(), PendingAnswer(it)) } ?: notHolderAnswer())
                }
            }

            else -> reply(ServedAnswer(HttpStatus.NOT_FOUND, ByteArray(0)))
        }
    }

    private fun jobAnswerOf(answer: HolderAnswer): JobAnswer = when (answer) {
        is HolderAnswer.State -> JobAnswer(answer.phase, answer.workspace, answer.acceptsCancellations)
        is HolderAnswer.NoJob -> JobAnswer(acceptsCancellations = answer.acceptsCancellations)
    }

    private fun <T> okAnswer(serializer: KSerializer<T>, value: T) =
        ServedAnswer(HttpStatus.OK, json.encodeToString(serializer, value).encodeToByteArray())

    private fun notHolderAnswer() = ServedAnswer(HttpStatus.UNAVAILABLE, ByteArray(0))

    private companion object {
        const val JOB_PATH_PREFIX = "/jobs/"
        const val PENDING_PATH_PREFIX = "/pending/"
    }
}

/** Where the holder of the control lease is reached. */
public sealed interface HolderAddress {
    /** No process is known to hold the lease and to schedule. */
    public data object Unknown : HolderAddress

    /** This process holds it. */
    public data object Self : HolderAddress

    /** A process of another node holds it, and serves queries at [endpoint]. */
    public data class Peer(public val endpoint: Endpoint) : HolderAddress
}

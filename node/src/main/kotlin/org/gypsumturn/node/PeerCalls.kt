// Calls between nodes. Any node can ask the holder of the control lease for the state of a job, and for the number of
// jobs of a queue that have not been started, and tells it of cancellations that it has stored.

package org.gypsumturn.node

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.batch.state.StoredCancellation
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
 * Tells the lease holder that the cancellation [content] of [job] is stored in [partition]. The holder reads it from
 * the store in any case, and later if the notice gets lost.
 */
@Serializable
public data class CancellationNotice(
    public val job: JobId,
    public val partition: String,
    public val content: StoredCancellation,
)

/**
 * Queries to this process as the lease holder. Each call replies on the control thread, with null if this process does
 * not hold the lease or has not read the stored state yet.
 */
public interface LocalHolderQueries {
    /** Replies with what this process knows of job [id]. */
    public fun queryJobState(id: JobId, reply: (HolderAnswer?) -> Unit)

    /** Replies with the number of jobs of [queue] of which no task has been started. */
    public fun countPendingJobs(queue: QueueId, reply: (Int?) -> Unit)

    /** Applies the stored cancellation of [notice] if this process holds the lease. */
    public fun applyCancellation(notice: CancellationNotice)
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
    private var openNotices = 0

    /**
     * Sends [notice] to the lease holder, without a repetition. It is dropped if the holder is not known, or while many
     * others have no answer. All calls must be on the thread of the client.
     */
    public fun notifyHolder(notice: CancellationNotice) {
        when (val holder = holderAddress()) {
            HolderAddress.Unknown -> Unit

            HolderAddress.Self -> local.applyCancellation(notice)

            is HolderAddress.Peer -> {
                if (openNotices >= MAX_OPEN_NOTICES) return
                openNotices++
                val body = json.encodeToString(CancellationNotice.serializer(), notice).encodeToByteArray()
                val call = HttpCall("POST", CANCELLATIONS_PATH, body)
                client.send(holder.endpoint, "notice", call, NOTICE_TIMEOUT_MILLIS) { openNotices-- }
            }
        }
    }

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
     * Handles the query or notice [request] of a peer. The status is 503 if this process can't answer a query as the
     * lease holder, 400 for a malformed notice, and 404 for an unknown path.
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

            path == CANCELLATIONS_PATH -> reply(ServedAnswer(handleNotice(request), ByteArray(0)))

            else -> reply(ServedAnswer(HttpStatus.NOT_FOUND, ByteArray(0)))
        }
    }

    private fun handleNotice(request: ServedRequest): Int {
        val notice = try {
            json.decodeFromString(CancellationNotice.serializer(), request.body.decodeToString())
        } catch (e: IllegalArgumentException) {
            logEvent("notice unreadable", "why" to e.message)
            return HttpStatus.BAD_REQUEST
        }
        local.applyCancellation(notice)
        return HttpStatus.OK
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
        const val CANCELLATIONS_PATH = "/cancellations"

        /** Timeout of a notice. The holder has most likely read the row from the store by then. */
        const val NOTICE_TIMEOUT_MILLIS = 500L

        /** Notices without an answer from which on further ones are dropped. */
        const val MAX_OPEN_NOTICES = 64
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

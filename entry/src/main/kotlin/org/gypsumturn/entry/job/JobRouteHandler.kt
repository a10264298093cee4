// Accepts durable jobs from callers and returns their records. A caller gets a positive answer only after the row of
// its job is committed.

package org.gypsumturn.entry.job

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.gypsumturn.entry.EntryMetrics
import org.gypsumturn.entry.http.Answers
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.http.HttpStatus
import org.gypsumturn.entry.http.Route
import org.gypsumturn.entry.http.VerdictNames
import org.gypsumturn.jobs.AcceptedJob
import org.gypsumturn.jobs.JobAcceptance
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.Verdict
import org.gypsumturn.runtime.duty.EventLoopThread
import org.gypsumturn.view.Readiness

/** JSON body of the answer to an accepted job. [repeated] means that the job had been accepted before. */
@Serializable
internal data class AcceptedBody(val id: String, val repeated: Boolean)

/**
 * Time limits of requests about jobs, in milliseconds.
 *
 * @property storeTimeoutMillis longest time that one call of the table may take
 * @property maxQueueMillis longest time that a request waits in the queue
 */
internal data class JobTimeouts(val storeTimeoutMillis: Long, val maxQueueMillis: Long)

/** Serves the routes of jobs. Thread-safe. It has its own thread, because calls of the table block. */
internal class JobRouteHandler(
    private val acceptance: JobAcceptance,
    private val view: () -> FleetView,
    private val readiness: () -> Readiness,
    private val metrics: EntryMetrics,
    private val timeouts: JobTimeouts,
    private val nowMillis: () -> Long,
    private val epochMillis: () -> Long,
    queueCapacity: Int,
) : AutoCloseable {
    private sealed interface JobCommand {
        val queuedAtMillis: Long
        val reply: (HttpAnswer) -> Unit

        class Accept(val spec: JobSpec, override val queuedAtMillis: Long, override val reply: (HttpAnswer) -> Unit) :
            JobCommand

        class Get(
            val route: Route.GetJob,
            override val queuedAtMillis: Long,
            override val reply: (HttpAnswer) -> Unit,
        ) : JobCommand
    }

    private val json = Json { ignoreUnknownKeys = false }
    private val waitingAccepts = ArrayList<JobCommand.Accept>()
    private val eventLoop =
        EventLoopThread<JobCommand>("jobs", queueCapacity, IDLE_INTERVAL_MILLIS, ::handle, ::acceptWaiting)

    fun start() = eventLoop.start()

    /** Accepts the job that [body] describes. [reply] gets the answer, possibly on another thread. */
    fun submitJob(body: String, reply: (HttpAnswer) -> Unit) {
        val spec = parse(body)
        val ready = readiness()
        when {
            !ready.ready -> reply(Answers.notRun(Failure(FailureKind.NOT_READY, ready.reason)))

            spec == null -> reply(Answers.notRun(Failure(FailureKind.INVALID, "the body is not a job in JSON")))

            !hasValidIds(spec) ->
                reply(Answers.notRun(Failure(FailureKind.INVALID, "an id must match $NAME_PATTERN")))

            spec.pool !in view().pools -> reply(notFound("unknown pool ${spec.pool}"))

            else -> offer(JobCommand.Accept(spec, nowMillis(), reply))
        }
    }

    /** Answers with the record of a job. [reply] gets the answer, possibly on another thread. */
    fun get(route: Route.GetJob, reply: (HttpAnswer) -> Unit) = offer(JobCommand.Get(route, nowMillis(), reply))

    override fun close() = eventLoop.close()

    private fun parse(body: String): JobSpec? = try {
        json.decodeFromString<JobSpec>(body)
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }

    private fun hasValidIds(spec: JobSpec): Boolean =
        listOf(spec.id.value, spec.pool.value, spec.team.value, spec.jobClass.value).all(NAME_PATTERN::matches)

    private fun offer(command: JobCommand) {
        if (eventLoop.offer(command)) return
        metrics.ringDrops.labelValues("jobs").inc()
        command.reply(Answers.notRun(Failure(FailureKind.OVERLOADED, "too many jobs wait to be recorded")))
    }

    private fun handle(command: JobCommand) {
        when {
            nowMillis() - command.queuedAtMillis > timeouts.maxQueueMillis -> command.reply(queuedTooLong())
            command is JobCommand.Accept -> waitingAccepts += command
            command is JobCommand.Get -> command.reply(lookUp(command.route))
        }
    }

    private fun acceptWaiting() {
        if (waitingAccepts.isEmpty()) return
        val group = waitingAccepts.toList()
        waitingAccepts.clear()
        val verdicts = acceptance.acceptAll(epochMillis(), group.map { it.spec }, timeouts.storeTimeoutMillis)
        group.zip(verdicts).forEach { (command, verdict) -> command.reply(httpAnswerOf(verdict)) }
    }

    private fun httpAnswerOf(verdict: Verdict<AcceptedJob>): HttpAnswer = when (verdict) {
        is Verdict.Ran -> {
            val body = json.encodeToString(AcceptedBody(verdict.value.id.value, verdict.value.repeated))
            Answers.json(HttpStatus.ACCEPTED, body, VerdictNames.RAN)
        }

        else -> Answers.withoutTargetAnswer(verdict)
    }

    private fun lookUp(route: Route.GetJob): HttpAnswer =
        when (val verdict = acceptance.get(route.pool, route.id, timeouts.storeTimeoutMillis)) {
            is Verdict.Ran -> verdict.value?.let(::foundAnswer) ?: notFound("unknown job ${route.id}")
            else -> Answers.withoutTargetAnswer(verdict)
        }

    private fun foundAnswer(record: JobRecord) =
        Answers.json(HttpStatus.OK, json.encodeToString(record), VerdictNames.RAN)

    private fun queuedTooLong() = Answers.notRun(Failure(FailureKind.TIMEOUT, "the job was not recorded in time"))

    private fun notFound(message: String) = Answers.notRun(HttpStatus.NOT_FOUND, Failure(FailureKind.INVALID, message))

    private companion object {
        const val IDLE_INTERVAL_MILLIS = 50L
        val NAME_PATTERN = Regex("[A-Za-z0-9._-]{1,128}")
    }
}

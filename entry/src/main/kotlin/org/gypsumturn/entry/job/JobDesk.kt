// Accepts durable jobs from callers and looks them up. A job is answered for once its row is committed.

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

@Serializable
internal data class AcceptedBody(val id: String, val repeated: Boolean)

/**
 * Times of jobs' calls, in milliseconds.
 *
 * @property storeMillis longest time that one call of the table may take
 * @property waitMillis longest time that an order waits for its turn
 */
internal data class JobTimes(val storeMillis: Long, val waitMillis: Long)

/** Serves the routes of jobs on a thread of its own, since the table's calls block. */
internal class JobDesk(
    private val acceptance: JobAcceptance,
    private val view: () -> FleetView,
    private val readiness: () -> Readiness,
    private val metrics: EntryMetrics,
    private val times: JobTimes,
    private val nowMillis: () -> Long,
    private val epochMillis: () -> Long,
    ringCapacity: Int,
) : AutoCloseable {
    private sealed interface Order {
        val sinceMillis: Long
        val reply: (HttpAnswer) -> Unit

        class Accept(val spec: JobSpec, override val sinceMillis: Long, override val reply: (HttpAnswer) -> Unit) :
            Order

        class Get(val route: Route.GetJob, override val sinceMillis: Long, override val reply: (HttpAnswer) -> Unit) :
            Order
    }

    private val json = Json { ignoreUnknownKeys = false }
    private val waiting = ArrayList<Order.Accept>()
    private val duty = EventLoopThread<Order>("jobs", ringCapacity, IDLE_MILLIS, ::handle, ::acceptWaiting)

    /** Starts the thread. */
    fun start() = duty.start()

    /** Accepts the job that [body] describes. */
    fun submit(body: String, reply: (HttpAnswer) -> Unit) {
        val spec = parse(body)
        val ready = readiness()
        when {
            !ready.ready -> reply(Answers.notRun(Failure(FailureKind.NOT_READY, ready.reason)))
            spec == null -> reply(Answers.notRun(Failure(FailureKind.INVALID, "the body is not a job in JSON")))
            !isNamed(spec) -> reply(Answers.notRun(Failure(FailureKind.INVALID, "an id must match $NAME")))
            spec.pool !in view().pools -> reply(unknown("unknown pool ${spec.pool}"))
            else -> offer(Order.Accept(spec, nowMillis(), reply))
        }
    }

    /** Answers with the record of a job. */
    fun get(route: Route.GetJob, reply: (HttpAnswer) -> Unit) = offer(Order.Get(route, nowMillis(), reply))

    override fun close() = duty.close()

    private fun parse(body: String): JobSpec? = try {
        json.decodeFromString<JobSpec>(body)
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }

    private fun isNamed(spec: JobSpec): Boolean =
        listOf(spec.id.value, spec.pool.value, spec.team.value, spec.jobClass.value).all(NAME::matches)

    private fun offer(order: Order) {
        if (duty.offer(order)) return
        metrics.ringDrops.labelValues("jobs").inc()
        order.reply(Answers.notRun(Failure(FailureKind.OVERLOADED, "too many jobs wait to be recorded")))
    }

    private fun handle(order: Order) {
        when {
            nowMillis() - order.sinceMillis > times.waitMillis -> order.reply(tooLate())
            order is Order.Accept -> waiting += order
            order is Order.Get -> order.reply(lookUp(order.route))
        }
    }

    private fun acceptWaiting() {
        if (waiting.isEmpty()) return
        val group = waiting.toList()
        waiting.clear()
        val verdicts = acceptance.acceptAll(epochMillis(), group.map { it.spec }, times.storeMillis)
        group.zip(verdicts).forEach { (order, verdict) -> order.reply(answerOf(verdict)) }
    }

    private fun answerOf(verdict: Verdict<AcceptedJob>): HttpAnswer = when (verdict) {
        is Verdict.Ran -> {
            val body = json.encodeToString(AcceptedBody(verdict.value.id.value, verdict.value.repeated))
            Answers.json(HttpStatus.ACCEPTED, body, VerdictNames.RAN)
        }

        else -> Answers.withoutResult(verdict)
    }

    private fun lookUp(route: Route.GetJob): HttpAnswer =
        when (val verdict = acceptance.get(route.pool, route.id, times.storeMillis)) {
            is Verdict.Ran -> verdict.value?.let(::found) ?: unknown("unknown job ${route.id}")
            else -> Answers.withoutResult(verdict)
        }

    private fun found(record: JobRecord) = Answers.json(HttpStatus.OK, json.encodeToString(record), VerdictNames.RAN)

    private fun tooLate() = Answers.notRun(Failure(FailureKind.TIMEOUT, "the job was not recorded in time"))

    private fun unknown(message: String) = Answers.notRun(HttpStatus.NOT_FOUND, Failure(FailureKind.INVALID, message))

    private companion object {
        const val IDLE_MILLIS = 50L
        val NAME = Regex("[A-Za-z0-9._-]{1,128}")
    }
}

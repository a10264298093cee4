// Counters and latencies of a node, and the endpoint at which Prometheus scrapes them.

package org.gypsumturn.node

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.batch.desk.CallerAnswer
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.schedule.DecisionLog
import org.gypsumturn.batch.workspace.WorkspaceStatus
import org.gypsumturn.runtime.log.droppedLogLines
import org.gypsumturn.transport.HttpStatus
import org.gypsumturn.transport.ServedAnswer
import org.gypsumturn.transport.ServedRequest
import org.gypsumturn.transport.UnansweredRequest
import java.io.ByteArrayOutputStream

private const val MILLIS_PER_SECOND = 1_000.0

/** The metrics of one node. They may be updated from any thread. */
public class NodeMetrics(
    private val registry: PrometheusRegistry = PrometheusRegistry(),
    private val nowMillis: () -> Long = NodeClock::steadyMillis,
) {
    private val answers =
        Counter.builder()
            .name("gypsumturn_node_answers_total")
            .help("Answers to callers by call and outcome.")
            .labelNames("call", "outcome")
            .register(registry)

    private val answerSeconds =
        Histogram.builder()
            .name("gypsumturn_node_answer_seconds")
            .help("Time from a caller's request to its answer.")
            .labelNames("call")
            .classicOnly()
            .register(registry)

    private val unansweredRequests =
        Counter.builder()
            .name("gypsumturn_node_unanswered_requests_total")
            .help("Requests of callers whose connection ended without a complete answer, by cause.")
            .labelNames("cause")
            .register(registry)

    private val events =
        Counter.builder()
            .name("gypsumturn_node_events_total")
            .help("Decisions and changes of belief by the event of their log line.")
            .labelNames("event")
            .register(registry)

    private val inferredRunEnds =
        Counter.builder()
            .name("gypsumturn_node_inferred_run_ends_total")
            .help("Runs that ended without a reported end, by what showed it.")
            .labelNames("evidence")
            .register(registry)

    private val startSeconds =
        Histogram.builder()
            .name("gypsumturn_node_task_wait_seconds")
            .help("Time that a task waited for its start.")
            .classicOnly()
            .register(registry)

    private val awaySeconds =
        Histogram.builder()
            .name("gypsumturn_node_task_away_seconds")
            .help("Time that a long-running task was away, by what it waited for most.")
            .labelNames("cause")
            .classicOnly()
            .classicUpperBounds(0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0, 10.0, 15.0, 30.0, 60.0)
            .register(registry)

    private val workspaceAmounts =
        Gauge.builder()
            .name("gypsumturn_node_workspace_amount")
            .help("Processors in thousandths of a core and memory in megabytes of each workspace, by kind of amount.")
            .labelNames("workspace", "resource", "kind")
            .register(registry)

    private val workspaceWaiting =
        Gauge.builder()
            .name("gypsumturn_node_workspace_waiting_tasks")
            .help("Tasks of each workspace that could be started and have no run.")
            .labelNames("workspace")
            .register(registry)

    private val workspaceHeldBack =
        Gauge.builder()
            .name("gypsumturn_node_workspace_held_back")
            .help("1 while the cap of the workspace holds back starts.")
            .labelNames("workspace")
            .register(registry)

    @Volatile
    private var jobsAsOfMillis: Long? = null

    private val writer = PrometheusTextFormatWriter.builder().build()

    init {
        CounterWithCallback.builder()
            .name("gypsumturn_node_log_lines_dropped_total")
            .help("Log lines that were dropped because the log fell behind.")
            .callback { it.call(droppedLogLines.get().toDouble()) }
            .register(registry)
        GaugeWithCallback.builder()
            .name("gypsumturn_node_job_feed_age_seconds")
            .help("Age of the lease holder's knowledge of stored jobs and cancellations.")
            .callback { gauge ->
                jobsAsOfMillis?.let { gauge.call((nowMillis() - it) / MILLIS_PER_SECOND) }
            }
            .register(registry)
    }

    /** Counts [answer] to the request [call] and records that it took [tookMillis]. */
    public fun recordAnswer(call: String, answer: CallerAnswer, tookMillis: Long) {
        answers.labelValues(call, answer.javaClass.simpleName).inc()
        answerSeconds.labelValues(call).observe(tookMillis / MILLIS_PER_SECOND)
    }

    /** Counts a [request] of a caller that was read and gets no complete answer. */
    public fun recordUnanswered(request: UnansweredRequest) {
        unansweredRequests.labelValues(request.cause.name.lowercase()).inc()
    }

    /**
     * Replaces the state of the workspaces, of which at most [MAX_WORKSPACES] are shown. An empty list removes all, as
     * when another process has become the lease holder.
     */
    public fun recordWorkspaces(workspaces: List<WorkspaceStatus>) {
        listOf(workspaceAmounts, workspaceWaiting, workspaceHeldBack).forEach { it.clear() }
        workspaces.take(MAX_WORKSPACES).forEach { status ->
            val name = status.workspace.id.value
            recordAmounts(name, "cap", status.workspace.cap)
            recordAmounts(name, "held", status.use.held)
            recordAmounts(name, "unconfirmed", status.use.unconfirmed)
            workspaceWaiting.labelValues(name).set(status.waitingTasks.toDouble())
            workspaceHeldBack.labelValues(name).set(if (status.isHeldBack) 1.0 else 0.0)
        }
    }

    /** Records that stored jobs are known up to [asOfMillis]; null while this process is not the lease holder. */
    public fun recordJobsAsOf(asOfMillis: Long?) {
        jobsAsOfMillis = asOfMillis
    }

    private fun recordAmounts(workspace: String, kind: String, amounts: ResourceAmounts) {
        workspaceAmounts.labelValues(workspace, "cpu", kind).set(amounts.cpuMillis.toDouble())
        workspaceAmounts.labelValues(workspace, "memory", kind).set(amounts.memoryMb.toDouble())
    }

    /** A log that counts each event and passes it on to [log]. It also records how long tasks waited to start. */
    public fun countEvents(log: DecisionLog): DecisionLog = { event, fields ->
        events.labelValues(event).inc()
        fields.firstOrNull { it.first == "waited_ms" }?.second?.let { waitedMillis ->
            startSeconds.observe((waitedMillis as Long) / MILLIS_PER_SECOND)
        }
        if (event == "run end inferred") {
            fields.firstOrNull {
                it.first == "evidence"
            }?.let { inferredRunEnds.labelValues(it.second.toString()).inc() }
        }
        if (event == "task at work again") {
            val values = fields.toMap()
            awaySeconds.labelValues(values["cause"].toString())
                .observe((values["away_ms"] as Long) / MILLIS_PER_SECOND)
        }
        log(event, fields)
    }

    /** Replies to [request] with the metrics in Prometheus text format; 404 for any other path. */
    public fun handle(request: ServedRequest, reply: (ServedAnswer) -> Unit) {
        if (request.path != PATH) {
            reply(ServedAnswer(HttpStatus.NOT_FOUND, ByteArray(0)))
            return
        }
        val text = ByteArrayOutputStream()
        writer.write(text, registry.scrape())
        reply(ServedAnswer(HttpStatus.OK, text.toByteArray(), writer.contentType))
    }

    private companion object {
        const val PATH = "/metrics"

        /** Workspaces that are shown, so that a configuration with very many does not fill the collector. */
        const val MAX_WORKSPACES = 200
    }
}

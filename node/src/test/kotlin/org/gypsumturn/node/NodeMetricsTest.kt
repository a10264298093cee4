// Tests which log lines of decisions appear in the metrics of a node.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.doubles.shouldBeExactly
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.GaugeSnapshot
import io.prometheus.metrics.model.snapshots.HistogramSnapshot
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Workspace
import org.gypsumturn.batch.workspace.WorkspaceStatus
import org.gypsumturn.batch.workspace.WorkspaceUse
import org.gypsumturn.model.WorkspaceId

class NodeMetricsTest : AnnotationSpec() {
    // Guards against: the time away of long-running tasks is missing from the metrics, or has another unit.
    @Test
    fun `the time that a long-running task was away is counted in seconds by its cause`() {
        val registry = PrometheusRegistry()
        val log = NodeMetrics(registry).countEvents { _, _ -> }
        log("task at work again", arrayOf("away_ms" to 5_250L, "cause" to "leases"))
        val histograms = registry.scrape().filterIsInstance<HistogramSnapshot>()
        val away = histograms.single { it.metadata.prometheusName == "gypsumturn_node_task_away_seconds" }
        away.dataPoints.single { it.labels["cause"] == "leases" }.sum shouldBeExactly 5.25
    }

    // Guards against: a workspace that waits can't be told from one that is at its cap, or stays shown by a process
    // that no longer holds the lease.
    @Test
    fun `the use, cap and waiting tasks of workspaces are shown until the term ends`() {
        val registry = PrometheusRegistry()
        val metrics = NodeMetrics(registry)
        val workspace = Workspace(WorkspaceId("w1"), 1.0, ResourceAmounts(8_000, 100))
        val use = WorkspaceUse(ResourceAmounts(7_500, 90), ResourceAmounts.NONE)
        metrics.recordWorkspaces(listOf(WorkspaceStatus(workspace, use, 12, isHeldBack = true)))
        fun values(name: String) = registry.scrape().filterIsInstance<GaugeSnapshot>()
            .filter { it.metadata.prometheusName == "gypsumturn_node_workspace_$name" }.flatMap { it.dataPoints }
        values("amount").single { it.labels["kind"] == "held" && it.labels["resource"] == "cpu" }.value shouldBe 7_500.0
        values("waiting_tasks").single().value shouldBe 12.0
        values("held_back").single().value shouldBe 1.0
        metrics.recordWorkspaces(emptyList())
        values("held_back") shouldBe emptyList()
    }

    // Guards against: a holder whose feed of jobs is silent can't be told from one that is up to date, or the age of an
    // earlier term stays shown.
    @Test
    fun `the age of the job feed is shown in seconds while the process holds the lease`() {
        val registry = PrometheusRegistry()
        var nowMillis = 10_000L
        val metrics = NodeMetrics(registry) { nowMillis }
        fun ages() = registry.scrape().filterIsInstance<GaugeSnapshot>()
            .filter { it.metadata.prometheusName == "gypsumturn_node_job_feed_age_seconds" }.flatMap { it.dataPoints }
        ages() shouldBe emptyList()
        metrics.recordJobsAsOf(9_500)
        nowMillis = 12_000
        ages().single().value shouldBeExactly 2.5
        metrics.recordJobsAsOf(null)
        ages() shouldBe emptyList()
    }
}

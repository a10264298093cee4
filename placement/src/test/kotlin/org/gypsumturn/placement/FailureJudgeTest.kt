package org.gypsumturn.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobRecord

class FailureJudgeTest : AnnotationSpec() {
    private val good = jobSpec("good", jobClass = "good")
    private val bad = jobSpec("bad", jobClass = "bad")

    private fun instance(number: Int) = InstanceId("worker-$number")

    private fun judgeWithHistory() = FailureJudge().apply {
        (1..5).forEach { number -> repeat(4) { succeeded(good, instance(number)) } }
    }

    @Test
    fun `a class that fails everywhere condemns its jobs and no worker`() {
        val judge = judgeWithHistory()
        repeat(30) { judge.failed(bad, instance(1 + it % 5), 0) }
        judge.distrusted().shouldBeEmpty()
        val record = JobRecord(bad, failures = 3, failedOn = (1..3).map(::instance))
        judge.jobVerdict(record, "no such file").shouldNotBeNull()
        judge.jobVerdict(record.copy(failures = 2, failedOn = (1..2).map(::instance)), "no such file").shouldBeNull()
    }

    @Test
    fun `a bad worker is found with a bad class on it and takes no job with it`() {
        val judge = judgeWithHistory()
        repeat(20) { judge.failed(bad, instance(1 + it % 5), 0) }
        judge.failed(bad, instance(9), 0)
        judge.failed(good, instance(9), 0)
        judge.failed(bad, instance(9), 0)
        judge.trustIn(instance(9), 0) shouldBe WorkerTrust.SUSPECTED
        judge.failed(good, instance(9), 0)
        judge.trustIn(instance(9), 0) shouldBe WorkerTrust.QUARANTINED
        judge.distrusted() shouldBe setOf(instance(9))
        judge.jobVerdict(failedOnce(good, "worker-9"), "exit 1").shouldBeNull()
        judge.trustIn(instance(9), 300_000) shouldBe WorkerTrust.PROBATION
        judge.failed(good, instance(9), 300_000)
        judge.trustIn(instance(9), 600_000) shouldBe WorkerTrust.QUARANTINED
        judge.succeeded(good, instance(9))
        judge.trustIn(instance(9), 600_000) shouldBe WorkerTrust.TRUSTED
    }
}

package org.gypsumturn.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec

class FailureJudgeTest : AnnotationSpec() {
    private val good = jobSpec("good", jobClass = "good")
    private val bad = jobSpec("bad", jobClass = "bad")

    private fun instance(number: Int) = InstanceId("worker-$number")

    private fun judgeWithHistory() = FailureJudge().apply {
        (1..5).forEach { number -> repeat(10) { succeeded(good, instance(number), 0) } }
        repeat(40) { failed(bad, instance(1 + it % 5), 1, 1) }
    }

    private fun FailureJudge.attempt(spec: JobSpec, worker: Int, nowMillis: Long): Boolean {
        began(spec.id, instance(worker), nowMillis)
        return failed(spec, instance(worker), nowMillis, nowMillis)
    }

    @Test
    fun `a class that fails everywhere condemns its jobs and no worker`() {
        val judge = judgeWithHistory()
        judge.distrusted().shouldBeEmpty()
        (1..5).map { judge.trustIn(instance(it), 1) }.toSet() shouldBe setOf(WorkerTrust.TRUSTED)
        val record = JobRecord(bad, failures = 3, failedOn = (1..3).map(::instance))
        judge.jobVerdict(record, "no such file").shouldNotBeNull()
        judge.jobVerdict(record.copy(failures = 2, failedOn = (1..2).map(::instance)), "no such file").shouldBeNull()
    }

    @Test
    fun `two classes that fail on the same workers are both condemned`() {
        val judge = judgeWithHistory()
        val other = jobSpec("other", jobClass = "also bad")
        repeat(40) { judge.failed(other, instance(1 + it % 5), 2, 2) }
        judge.distrusted().shouldBeEmpty()
        listOf(bad, other).forEach { spec ->
            val record = JobRecord(spec, failures = 3, failedOn = (1..3).map(::instance))
            judge.jobVerdict(record, "no such file").shouldNotBeNull()
        }
    }

    @Test
    fun `a bad worker is found with a bad class on it and takes no job with it`() {
        val judge = judgeWithHistory()
        var attempts = 0
        while (judge.trustIn(instance(9), 2) != WorkerTrust.QUARANTINED && attempts < 100) {
            judge.attempt(if (attempts++ % 3 == 0) bad else good, 9, 2)
        }
        attempts shouldBe 9
        judge.distrusted() shouldBe setOf(instance(9))
        judge.jobVerdict(failedOnce(good, "worker-9"), "exit 1").shouldBeNull()
        judge.trustIn(instance(9), 300_002) shouldBe WorkerTrust.ON_TRIAL
        judge.attempt(good, 9, 300_002) shouldBe false
        judge.attempt(good, 9, 300_003) shouldBe true
        judge.trustIn(instance(9), 600_002) shouldBe WorkerTrust.QUARANTINED
        judge.began(good.id, instance(9), 900_004)
        judge.succeeded(good, instance(9), 900_004)
        judge.trustIn(instance(9), 900_005) shouldBe WorkerTrust.TRUSTED
    }

    @Test
    fun `what began before a worker went bad does not speak for it`() {
        val judge = judgeWithHistory()
        repeat(2) { judge.attempt(good, 9, 100) }
        judge.trustIn(instance(9), 100) shouldBe WorkerTrust.ON_TRIAL
        judge.succeeded(good, instance(9), 50)
        judge.trustIn(instance(9), 101) shouldBe WorkerTrust.ON_TRIAL
    }

    @Test
    fun `a few accidents among many successes do not quarantine a worker`() {
        val judge = judgeWithHistory()
        repeat(1_000) { number ->
            if (number % 20 < 2) judge.attempt(good, 1, 10L + number) else judge.succeededNow(10L + number)
        }
        judge.distrusted().shouldBeEmpty()
    }

    private fun FailureJudge.succeededNow(nowMillis: Long) {
        began(good.id, instance(1), nowMillis)
        succeeded(good, instance(1), nowMillis)
    }
}

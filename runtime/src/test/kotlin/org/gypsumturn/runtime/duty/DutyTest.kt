package org.gypsumturn.runtime.duty

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class DutyTest : AnnotationSpec() {
    @Test
    fun `handles events in order and goes on after one that fails`() {
        val seen = mutableListOf<Int>()
        val done = CountDownLatch(1)
        val duty =
            Duty<Int>("test", ringCapacity = 8, idleMillis = 10, handle = { event ->
                check(event != 2) { "fails on purpose" }
                seen += event
                if (event == 3) done.countDown()
            })
        duty.use {
            duty.start()
            (1..3).forEach(duty::offer)
            done.await(10, TimeUnit.SECONDS) shouldBe true
        }
        seen shouldBe listOf(1, 3)
    }

    @Test
    fun `refuses an event when its ring is full`() {
        val duty = Duty<Int>("test", ringCapacity = 2, idleMillis = 10, handle = {})
        duty.offer(1) shouldBe true
        duty.offer(2) shouldBe true
        duty.offer(3) shouldBe false
    }
}

// Tests the order of events, failures in a handler, and the limit of the queue.

package org.gypsumturn.runtime.duty

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class EventLoopThreadTest : AnnotationSpec() {
    @Test
    fun `events are handled in order, also after an event whose handler fails`() {
        val handled = mutableListOf<Int>()
        val done = CountDownLatch(1)
        val loop =
            EventLoopThread<Int>("test", queueCapacity = 8, idleMillis = 10, handle = { event ->
                check(event != 2) { "fails on purpose" }
                handled += event
                if (event == 3) done.countDown()
            })
        loop.use {
            loop.start()
            (1..3).forEach(loop::offer)
            done.await(10, TimeUnit.SECONDS) shouldBe true
        }
        handled shouldBe listOf(1, 3)
    }

    // Guards against: a process whose event loop has ended by an error goes on and does no work.
    @Test
    fun `an error in a handler is reported as fatal`() {
        val reported = CountDownLatch(1)
        val loop = EventLoopThread<Int>("test", queueCapacity = 2, idleMillis = 10, handle = {
            throw OutOfMemoryError("thrown on purpose")
        })
        loop.onFatalError = { reported.countDown() }
        loop.start()
        loop.offer(1)
        reported.await(10, TimeUnit.SECONDS) shouldBe true
    }

    @Test
    fun `an event is refused when the queue is full`() {
        val loop = EventLoopThread<Int>("test", queueCapacity = 2, idleMillis = 10, handle = {})
        loop.offer(1) shouldBe true
        loop.offer(2) shouldBe true
        loop.offer(3) shouldBe false
    }
}

// What a cap allows, resource by resource. Load: a workspace that asks for more than its cap.

package org.gypsumturn.batch.workspace

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.model.ResourceAmounts

class WorkspaceCapTest : AnnotationSpec() {
    private val cap = ResourceAmounts(cpuMillis = 10_000, memoryMb = 1_000)
    private val task = ResourceAmounts(cpuMillis = 2_000, memoryMb = 100)

    private fun use(cpuMillis: Long, memoryMb: Long = 0, unconfirmedCpuMillis: Long = 0) =
        WorkspaceUse(ResourceAmounts(cpuMillis, memoryMb), ResourceAmounts(unconfirmedCpuMillis))

    @Test
    fun `a start is allowed up to the cap and not beyond it`() {
        capAllows(cap, use(8_000), task) shouldBe true
        capAllows(cap, use(8_001), task) shouldBe false
    }

    // Guards against: a cap on memory is passed over because there are processors left.
    @Test
    fun `each resource is bounded by itself`() {
        capAllows(cap, use(0, memoryMb = 950), task) shouldBe false
        capAllows(cap, use(0, memoryMb = 900), task) shouldBe true
    }

    @Test
    fun `a component of 0 sets no bound`() {
        capAllows(ResourceAmounts(memoryMb = 1_000), use(1_000_000), task) shouldBe true
    }

    // Guards against: what may run unseen after a takeover is given out a second time.
    @Test
    fun `tasks that may run unseen count as used`() {
        capAllows(cap, use(4_000, unconfirmedCpuMillis = 5_000), task) shouldBe false
    }

    // Guards against: a task that is larger than its workspace's cap waits for ever.
    @Test
    fun `with less than half of the cap in use one more task starts, whatever its size`() {
        val large = ResourceAmounts(cpuMillis = 12_000)
        capAllows(cap, use(5_000), large) shouldBe true
        capAllows(cap, use(5_001), large) shouldBe false
    }

    // Guards against: a gang that starts at once takes several tasks more than the cap.
    @Test
    fun `a gang may exceed the cap by its last task only`() {
        val member = ResourceAmounts(cpuMillis = 4_000)
        capAllows(cap, use(0), member, count = 3) shouldBe true
        capAllows(cap, use(0), member, count = 4) shouldBe false
        capAllows(cap, use(2_001), member, count = 3) shouldBe false
    }
}

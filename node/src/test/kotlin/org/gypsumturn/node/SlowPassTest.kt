// Tests a holder whose scheduling passes take long, as on a slow machine.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeGreaterThan

class SlowPassTest : AnnotationSpec() {
    // Guards against: a holder whose passes take longer than a start order may take starts nothing at all.
    @Test
    fun `starts of a pass that takes longer than the timeout of a start are sent while the lease is valid`() {
        val nodes = VirtualNodes()
        nodes.run(500)
        nodes.passMillis = 700
        nodes.submit(1, 40)
        nodes.run(5_000)
        nodes.executors.starts.size shouldBeGreaterThan 10
    }
}

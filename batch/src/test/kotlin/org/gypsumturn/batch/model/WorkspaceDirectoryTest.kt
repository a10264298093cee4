// Which workspace an API key belongs to, and which lists of workspaces are rejected.

package org.gypsumturn.batch.model

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.gypsumturn.batch.workspace
import org.gypsumturn.model.WorkspaceId

class WorkspaceDirectoryTest : AnnotationSpec() {
    private fun keyed(name: String, vararg keys: String, weight: Double = 1.0, cap: ResourceAmounts = NO_CAP) =
        KeyedWorkspace(Workspace(WorkspaceId(name), weight, cap), keys.toList())

    private fun rejectionOf(vararg workspaces: KeyedWorkspace): String =
        shouldThrow<IllegalArgumentException> { WorkspaceDirectory(workspaces.toList()) }.message.orEmpty()

    // Guards against: a caller acts for another workspace, or with a key that was never given out.
    @Test
    fun `each key leads to its own workspace, and an unknown key to none`() {
        val directory = WorkspaceDirectory(listOf(keyed("a", "key-1", "key-2"), keyed("b", "key-3")))
        directory.workspaceOf("key-2") shouldBe WorkspaceId("a")
        directory.workspaceOf("key-3") shouldBe WorkspaceId("b")
        listOf("", "key-", "key-33", "KEY-3").forEach { directory.workspaceOf(it).shouldBeNull() }
    }

    // Guards against: a shared key makes it a matter of order whom a caller acts for.
    @Test
    fun `two workspaces can't share a key, and the message does not show it`() {
        val message = rejectionOf(keyed("a", "secret-key"), keyed("b", "secret-key"))
        message shouldContain "workspaces a and b share an API key"
        message shouldNotContain "secret-key"
    }

    // Guards against: a caller without a key acts for a workspace with a blank one.
    @Test
    fun `a blank key is rejected`() {
        listOf("", " ").forEach { rejectionOf(keyed("a", it)) shouldContain "blank API key" }
    }

    // Guards against: a share that is divided by zero, or a cap that no use can keep.
    @Test
    fun `a weight that is not positive and a negative cap are rejected`() {
        listOf(0.0, -1.0, Double.NaN, Double.POSITIVE_INFINITY).forEach { weight ->
            rejectionOf(keyed("a", "key", weight = weight)) shouldContain "must be positive"
        }
        rejectionOf(keyed("a", "key", cap = ResourceAmounts(memoryMb = -1))) shouldContain "negative cap"
    }

    @Test
    fun `two workspaces can't have the same name`() {
        rejectionOf(keyed("a", "key-1"), keyed("a", "key-2")) shouldContain "two workspaces are named a"
    }

    private companion object {
        val NO_CAP = workspace("any").cap
    }
}

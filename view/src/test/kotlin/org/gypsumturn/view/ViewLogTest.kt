// Tests the log of changes: order of concurrent proposals, loading, and proposals whose commits or answers are lost.

package org.gypsumturn.view

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.PortFault

class ViewLogTest : AnnotationSpec() {
    private val empty = StoredView(FleetView(), Revision.ABSENT)

    private fun proposal(operation: String, pool: String): Proposal {
        val record = Pool(PoolId(pool), PoolRole.SERVING, AvailabilityBudget(1))
        return Proposal(OperationId(operation), OperatorId("ana"), 1, "put $pool", listOf(Mutation.PutPool(record)))
    }

    private fun ViewLog.accept(base: StoredView, proposal: Proposal) =
        propose(base, proposal).valueOrNull().shouldBeInstanceOf<ProposalOutcome.Accepted>().next

    @Test
    fun `of two proposals against the same view one is accepted and the other has a stale base`() {
        val log = ViewLog(FakeTableStore(), 1_000)
        log.accept(empty, proposal("op1", "a"))
        log.propose(empty, proposal("op2", "b")).valueOrNull() shouldBe ProposalOutcome.StaleBase
    }

    @Test
    fun `loading from changes and loading from records give the same view`() {
        val log = ViewLog(FakeTableStore(), 1_000)
        val first = log.accept(empty, proposal("op1", "a"))
        val second = log.accept(first, proposal("op2", "b"))
        val updated = log.loadSince(empty).valueOrNull()!!.stored.view
        val loaded = log.load().valueOrNull()!!.stored.view
        updated shouldBe second.view
        loaded.copy(membershipVersion = updated.membershipVersion) shouldBe updated
        // Records do not show when a node last left, so a view that is loaded from them assumes its own version.
        loaded.membershipVersion shouldBe loaded.version
    }

    @Test
    fun `a proposal whose answer is lost is found in the log and accepted only once`() {
        var faults = 1
        val table =
            FakeTableStore { isCommit -> if (isCommit && faults-- > 0) PortFault.LOSE_ANSWER else PortFault.NONE }
        val log = ViewLog(table, 1_000)
        log.accept(empty, proposal("op1", "a")).view.version shouldBe ViewVersion(1)
        log.versionOf(OperationId("op1")).valueOrNull() shouldBe ViewVersion(1)
    }

    @Test
    fun `a proposal whose commits are lost before they take effect is committed again`() {
        var faults = 2
        val table =
            FakeTableStore { isCommit -> if (isCommit && faults-- > 0) PortFault.LOSE_REQUEST else PortFault.NONE }
        ViewLog(table, 1_000).accept(empty, proposal("op1", "a")).view.version shouldBe ViewVersion(1)
    }

    @Test
    fun `a proposal that was overtaken by another change has a stale base and no unknown outcome`() {
        val table = FakeTableStore()
        var lose = true
        val faulty = FakeTableStore { isCommit -> if (isCommit && lose) PortFault.LOSE_REQUEST else PortFault.NONE }
        ViewLog(table, 1_000).accept(empty, proposal("op0", "z"))
        ViewLog(faulty, 1_000).propose(empty, proposal("op1", "a")).shouldBeInstanceOf<Verdict.MayHaveRun>()
        lose = false
        ViewLog(faulty, 1_000).accept(empty, proposal("op2", "b"))
        ViewLog(faulty, 1_000).propose(empty, proposal("op1", "a")).valueOrNull() shouldBe ProposalOutcome.StaleBase
    }

    @Test
    fun `a proposal that the table refuses has certainly not run`() {
        val table = FakeTableStore { isCommit -> if (isCommit) PortFault.REFUSE else PortFault.NONE }
        ViewLog(table, 1_000).propose(empty, proposal("op1", "a")).shouldBeInstanceOf<Verdict.NotRun>()
    }
}

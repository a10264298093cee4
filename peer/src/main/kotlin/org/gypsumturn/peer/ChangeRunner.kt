// Makes changes: decides against the newest view, proposes, and decides again whenever another change came first.

package org.gypsumturn.peer

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.valueOr
import org.gypsumturn.view.Proposal
import org.gypsumturn.view.ProposalOutcome
import org.gypsumturn.view.StoredView
import org.gypsumturn.view.ViewLog
import org.gypsumturn.view.ViewUpdate

/** What a decision against one view comes to. */
public sealed interface ChangeDecision<out R> {
    /** These mutations are to be made; none means that nothing is left to do. */
    public data class Make(public val mutations: List<Mutation>, public val summary: String) : ChangeDecision<Nothing>

    /** The change is refused. */
    public data class Refuse<R>(public val refusal: R) : ChangeDecision<R>
}

/** How a change ended. */
public sealed interface ChangeOutcome<out R> {
    /** The change is in the log at [version]; [repeated] if an earlier call with the same operation had made it. */
    public data class Made(public val version: ViewVersion, public val repeated: Boolean) : ChangeOutcome<Nothing>

    /** The change was refused. */
    public data class Refused<R>(public val refusal: R) : ChangeOutcome<R>
}

/** Who asks for a change, under which operation id, and when. */
public data class ChangeHeader(
    public val operation: OperationId,
    public val operator: OperatorId,
    public val nowMillis: Long,
)

/**
 * Makes changes for one process. Calls block while the table is asked. Thread-safe.
 *
 * @param current the newest view that is known here
 * @param onFollowed is told each newer view, with the time at which the table was asked
 */
public class ChangeRunner(
    private val log: ViewLog,
    private val monotonicMillis: () -> Long,
    private val current: () -> StoredView,
    private val onFollowed: (followed: ViewUpdate, askedAtMillis: Long) -> Unit,
) {
    /** Makes changes against the view that [keeper] holds, and tells it of what is read and made. */
    public constructor(keeper: ViewKeeper, log: ViewLog, monotonicMillis: () -> Long) :
        this(log, monotonicMillis, keeper::loggedView, keeper::offer)

    /** Makes the change that [decide] gives, once for each operation id. */
    public fun <R> run(header: ChangeHeader, decide: (FleetView) -> ChangeDecision<R>): Verdict<ChangeOutcome<R>> {
        val known = current()
        // A refusal against a view that may be old is decided again against the newest one.
        val early = if (known.view.version == ViewVersion.NONE) null else attempt(known, header, decide)
        if (early is Attempt.Ended) return early.result
        return runOnNewest(known, header, decide)
    }

    private fun <R> runOnNewest(
        known: StoredView,
        header: ChangeHeader,
        decide: (FleetView) -> ChangeDecision<R>,
    ): Verdict<ChangeOutcome<R>> {
        var base = known
        repeat(MAX_ROUNDS) {
            base = newest(base).valueOr { return it }
            val made = log.versionOf(header.operation).valueOr { return it }
            if (made != null) return Verdict.Ran(ChangeOutcome.Made(made, repeated = true))
            when (val attempt = attempt(base, header, decide)) {
                is Attempt.Ended -> return attempt.result
                is Attempt.Refused -> return Verdict.Ran(ChangeOutcome.Refused(attempt.refusal))
                Attempt.Behind -> Unit
            }
        }
        return Verdict.NotRun(Failure(FailureKind.OVERLOADED, "other changes came first $MAX_ROUNDS times"))
    }

    private fun <R> attempt(
        base: StoredView,
        header: ChangeHeader,
        decide: (FleetView) -> ChangeDecision<R>,
    ): Attempt<R> = when (val decision = decide(base.view)) {
        is ChangeDecision.Refuse -> Attempt.Refused(decision.refusal)
        is ChangeDecision.Make -> propose(base, header, decision)
    }

    private fun newest(known: StoredView): Verdict<StoredView> {
        val askedAt = monotonicMillis()
        val result = if (known.view.version == ViewVersion.NONE) log.load() else log.loadSince(known)
        val followed = result.valueOr { return it }
        onFollowed(followed, askedAt)
        return Verdict.Ran(followed.stored)
    }

    private fun propose(base: StoredView, header: ChangeHeader, decision: ChangeDecision.Make): Attempt<Nothing> {
        if (decision.mutations.isEmpty()) return made(base.view.version)
        val proposal =
            Proposal(header.operation, header.operator, header.nowMillis, decision.summary, decision.mutations)
        val askedAt = monotonicMillis()
        return when (val outcome = log.propose(base, proposal).valueOr { return Attempt.Ended(it) }) {
            ProposalOutcome.StaleBase -> Attempt.Behind

            is ProposalOutcome.Accepted -> {
                onFollowed(ViewUpdate(outcome.next, listOf(outcome.change)), askedAt)
                made(outcome.change.version)
            }
        }
    }

    private fun made(version: ViewVersion): Attempt<Nothing> =
        Attempt.Ended(Verdict.Ran(ChangeOutcome.Made(version, repeated = false)))

    private sealed interface Attempt<out R> {
        data class Ended(val result: Verdict<ChangeOutcome<Nothing>>) : Attempt<Nothing>

        data class Refused<R>(val refusal: R) : Attempt<R>

        data object Behind : Attempt<Nothing>
    }

    private companion object {
        const val MAX_ROUNDS = 20
    }
}

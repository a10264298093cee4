// Makes changes to the fleet view with optimistic concurrency: decides on a change against the newest view, proposes
// it, and decides again if another change was accepted in the meantime.

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

/** Result of deciding on a change against one view. */
public sealed interface ChangeDecision<out R> {
    /** The mutations to make; an empty list means that the view already is as requested. */
    public data class Make(public val mutations: List<Mutation>, public val summary: String) : ChangeDecision<Nothing>

    /** The change is refused for the reason [refusal]. */
    public data class Refuse<R>(public val refusal: R) : ChangeDecision<R>
}

/** Outcome of a change. */
public sealed interface ChangeOutcome<out R> {
    /**
     * The change is in the log at [version], or the view of [version] needed no change. [repeated] is set if an earlier
     * call with the same operation id had made the change.
     */
    public data class Made(public val version: ViewVersion, public val repeated: Boolean) : ChangeOutcome<Nothing>

    /** The change was refused for the reason [refusal]. */
    public data class Refused<R>(public val refusal: R) : ChangeOutcome<R>
}

/**
 * Who requests a change, and when.
 *
 * @property operation idempotency key of the change
 * @property nowMillis wall-clock time that is recorded with the change
 */
public data class ChangeHeader(
    public val operation: OperationId,
    public val operator: OperatorId,
    public val nowMillis: Long,
)

/**
 * Makes changes for one process. Calls block while the table is read and written. Thread-safe.
 *
 * @param knownView returns the newest view that this process knows
 * @param onViewUpdate called with each view that was read or written, and with the time at which the call to the table
 *   started, in milliseconds of the monotonic clock
 */
public class ChangeRunner(
    private val log: ViewLog,
    private val monotonicMillis: () -> Long,
    private val knownView: () -> StoredView,
    private val onViewUpdate: (update: ViewUpdate, requestedAtMillis: Long) -> Unit,
) {
    /** Makes changes against the view that [replica] holds, and hands it the views that are read and written. */
    public constructor(replica: ViewReplica, log: ViewLog, monotonicMillis: () -> Long) :
        this(log, monotonicMillis, replica::storedView, replica::offerUpdate)

    /**
     * Makes the change that [decide] returns, at most once for each operation id. Calls [decide] again with the newest
     * view after each conflict with another change, up to [MAX_ATTEMPTS] times; then the change has not run.
     */
    public fun <R> run(header: ChangeHeader, decide: (FleetView) -> ChangeDecision<R>): Verdict<ChangeOutcome<R>> {
        val known = knownView()
        // The known view may be out of date, so a refusal against it is decided again against the newest view.
        val firstAttempt = if (known.view.version == ViewVersion.NONE) null else attemptChange(known, header, decide)
        if (firstAttempt is Attempt.Ended) return firstAttempt.result
        return runOnNewest(known, header, decide)
    }

    private fun <R> runOnNewest(
        known: StoredView,
        header: ChangeHeader,
        decide: (FleetView) -> ChangeDecision<R>,
    ): Verdict<ChangeOutcome<R>> {
        var base = known
        repeat(MAX_ATTEMPTS) {
            base = loadNewest(base).valueOr { return it }
            val madeVersion = log.versionOf(header.operation).valueOr { return it }
            if (madeVersion != null) return Verdict.Ran(ChangeOutcome.Made(madeVersion, repeated = true))
            when (val attempt = attemptChange(base, header, decide)) {
                is Attempt.Ended -> return attempt.result
                is Attempt.Refused -> return Verdict.Ran(ChangeOutcome.Refused(attempt.refusal))
                Attempt.StaleBase -> Unit
            }
        }
        return Verdict.NotRun(
            Failure(FailureKind.OVERLOADED, "other changes came first $MAX_ATTEMPTS times"),
        )
    }

    private fun <R> attemptChange(
        base: StoredView,
        header: ChangeHeader,
        decide: (FleetView) -> ChangeDecision<R>,
    ): Attempt<R> = when (val decision = decide(base.view)) {
        is ChangeDecision.Refuse -> Attempt.Refused(decision.refusal)
        is ChangeDecision.Make -> propose(base, header, decision)
    }

    private fun loadNewest(known: StoredView): Verdict<StoredView> {
        val requestedAt = monotonicMillis()
        val result = if (known.view.version == ViewVersion.NONE) log.load() else log.loadSince(known)
        val update = result.valueOr { return it }
        onViewUpdate(update, requestedAt)
        return Verdict.Ran(update.stored)
    }

    private fun propose(base: StoredView, header: ChangeHeader, decision: ChangeDecision.Make): Attempt<Nothing> {
        if (decision.mutations.isEmpty()) return madeAt(base.view.version)
        val proposal =
            Proposal(header.operation, header.operator, header.nowMillis, decision.summary, decision.mutations)
        val requestedAt = monotonicMillis()
        return when (val outcome = log.propose(base, proposal).valueOr { return Attempt.Ended(it) }) {
            ProposalOutcome.StaleBase -> Attempt.StaleBase

            is ProposalOutcome.Accepted -> {
                onViewUpdate(ViewUpdate(outcome.next, listOf(outcome.change)), requestedAt)
                madeAt(outcome.change.version)
            }
        }
    }

    private fun madeAt(version: ViewVersion): Attempt<Nothing> =
        Attempt.Ended(Verdict.Ran(ChangeOutcome.Made(version, repeated = false)))

    private sealed interface Attempt<out R> {
        data class Ended(val result: Verdict<ChangeOutcome<Nothing>>) : Attempt<Nothing>

        data class Refused<R>(val refusal: R) : Attempt<R>

        data object StaleBase : Attempt<Nothing>
    }

    private companion object {
        const val MAX_ATTEMPTS = 20
    }
}

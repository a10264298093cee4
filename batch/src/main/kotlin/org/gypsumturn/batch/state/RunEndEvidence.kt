// Evidence that a run can't go on. A run leaves the scheduler's state only with a value of this type, since its task
// may be started elsewhere then. That an executor is silent, or is missing from a list, is not evidence.

package org.gypsumturn.batch.state

/** Why a run can't go on. */
public sealed interface RunEndEvidence {
    /** The executor listed the end of the run. */
    public data object Reported : RunEndEvidence

    /**
     * Evidence without a reported end. [label] names it in logs and metrics, and [sinceMillis] is the time on the
     * steady clock since which it holds.
     */
    public sealed interface Inferred : RunEndEvidence {
        public val label: String
        public val sinceMillis: Long
    }

    /**
     * A complete report lacks the run although the executor had confirmed its start or its stop before the report was
     * requested. An executor lists all that runs there and each end that was not acknowledged, and begins no run after
     * its stop.
     */
    public data class NotListed(override val sinceMillis: Long) : Inferred {
        override val label: String get() = "not listed"
    }

    /** The incarnation of the executor that had reported the run has ended, and everything that ran there with it. */
    public data class IncarnationEnded(public val source: IncarnationEndSource, override val sinceMillis: Long) :
        Inferred {
        override val label: String get() = source.label
    }

    /**
     * All leases that any holder gave the executor have lapsed, at which it ends everything. Only the sole holder knows
     * which lease is the last, so they must have lapsed while the control lease of this one was valid.
     */
    public data class LeasesLapsed(override val sinceMillis: Long) : Inferred {
        override val label: String get() = "leases lapsed"
    }

    /** No start order for the run can have been carried out: it was not sent, not delivered, or refused. */
    public data class NotStarted(override val sinceMillis: Long) : Inferred {
        override val label: String get() = "not started"
    }
}

/** What showed that an incarnation of an executor has ended. [label] names it in logs and metrics. */
public enum class IncarnationEndSource(public val label: String) {
    /** A later incarnation answered a poll. */
    NEWER_REPORT("newer incarnation reported"),

    /** The entry in the registry shows a later incarnation. */
    NEWER_ENTRY("newer incarnation listed"),

    /** Another executor answers at the address. */
    ADDRESS("address in use by another executor"),

    /** The platform accepted an order that ends everything on the machine. */
    ORDER("machine order accepted"),

    /** The platform's list of machines shows it. */
    MACHINE_LIST("list of machines"),
}

/** A run that can't go on, as [evidence] shows. */
public class EndedRun(public val run: Run, public val evidence: RunEndEvidence)

// Orders that the scheduler wants carried out. The node carries them out and reports the answers back.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.port.ExecutorTarget
import org.gypsumturn.batch.port.PollOrder
import org.gypsumturn.batch.port.StartOrder
import org.gypsumturn.batch.state.Run

/** An order to an executor. */
public sealed interface Order {
    public val target: ExecutorTarget

    /** Start a run, or ask again after no answer. */
    public class Start(override val target: ExecutorTarget, public val run: Run, public val order: StartOrder) : Order

    /** Stop a run. */
    public class Stop(override val target: ExecutorTarget, public val run: RunId) : Order

    /** Look at the executor. */
    public class Look(override val target: ExecutorTarget, public val order: PollOrder) : Order

    /** Close connections to an executor that has gone. */
    public class Forget(override val target: ExecutorTarget) : Order
}

/** Receives a decision: what was decided, and the inputs that decided it. */
public typealias DecisionLog = (event: String, fields: Array<out Pair<String, Any?>>) -> Unit

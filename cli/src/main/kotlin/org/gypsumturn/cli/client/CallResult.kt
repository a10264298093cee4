// How a call of the administration API ended.

package org.gypsumturn.cli.client

import org.gypsumturn.schema.admin.AdminError

/** Outcome of a call. */
internal sealed interface CallResult<out T> {
    /** The call ran, and [value] is its answer. */
    data class Answered<T>(val value: T) : CallResult<T>

    /** The call was rejected and had no effect. */
    data class Rejected(val error: AdminError) : CallResult<Nothing>

    /** No server gave a final answer. [attempts] tells, for each server that was asked, what happened. */
    data class Unanswered(val mayHaveRun: Boolean, val attempts: List<String>) : CallResult<Nothing>
}

/** Whether repeating a call could have a second effect if it carried no operation id. */
internal enum class CallKind { READ, MUTATION }

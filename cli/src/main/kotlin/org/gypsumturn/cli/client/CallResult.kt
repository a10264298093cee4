// Outcome of a call of the administration API, over all servers that were tried.

package org.gypsumturn.cli.client

import org.gypsumturn.schema.admin.AdminError

internal sealed interface CallResult<out T> {
    /** The call ran, and [value] is its answer. */
    data class Answered<T>(val value: T) : CallResult<T>

    /** The call was rejected and had no effect. */
    data class Rejected(val error: AdminError) : CallResult<Nothing>

    /**
     * No server gave a conclusive answer. [attempts] says for each server that was tried what happened. If [mayHaveRun]
     * is set, the call may have been carried out or may still be.
     */
    data class Unanswered(val mayHaveRun: Boolean, val attempts: List<String>) : CallResult<Nothing>
}

/** [MUTATION] marks the calls that could take effect twice if they were repeated without an operation id. */
internal enum class CallKind { READ, MUTATION }

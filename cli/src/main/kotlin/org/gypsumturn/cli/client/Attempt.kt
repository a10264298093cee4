// What one attempt at a call proves: reads the typed error of the trailer, or else the status and whether anything was
// sent.

package org.gypsumturn.cli.client

import io.grpc.Metadata
import io.grpc.Status
import io.grpc.StatusRuntimeException
import org.gypsumturn.schema.admin.AdminError
import org.gypsumturn.schema.admin.ErrorCode

/** Outcome of one attempt. */
internal sealed interface Attempt<out T> {
    /** The call ran. */
    data class Answered<T>(val value: T) : Attempt<T>

    /** The call was rejected; another server would say the same. */
    data class Rejected(val error: AdminError) : Attempt<Nothing>

    /** The call was certainly not carried out here; another server may do it. */
    data class NotRun(val reason: String) : Attempt<Nothing>

    /** The call may have been carried out. */
    data class MayHaveRun(val reason: String) : Attempt<Nothing>
}

private const val ERROR_TRAILER = "gypsumturn-error-bin"
private val ERROR_KEY: Metadata.Key<ByteArray> = Metadata.Key.of(ERROR_TRAILER, Metadata.BINARY_BYTE_MARSHALLER)

/** Classifies [failure] of an attempt of which [mayHaveSent] tells whether any part left this process. */
internal fun classify(failure: StatusRuntimeException, mayHaveSent: Boolean): Attempt<Nothing> {
    val typed = failure.trailers?.get(ERROR_KEY)?.let { runCatching { AdminError.parseFrom(it) }.getOrNull() }
    if (typed != null) return ofTyped(typed)
    val reason = "${failure.status.code} ${failure.status.description.orEmpty()}".trim()
    return when {
        failure.status.code in REFUSALS -> Attempt.Rejected(refusal(reason))
        mayHaveSent -> Attempt.MayHaveRun(reason)
        else -> Attempt.NotRun(reason)
    }
}

// Statuses that say by themselves that the call was not carried out, here or elsewhere.
private val REFUSALS = setOf(Status.Code.UNAUTHENTICATED, Status.Code.PERMISSION_DENIED, Status.Code.UNIMPLEMENTED)

private fun ofTyped(error: AdminError): Attempt<Nothing> = when (error.code) {
    ErrorCode.ERROR_CODE_NOT_RUN -> Attempt.NotRun(error.message)

    ErrorCode.ERROR_CODE_MAY_HAVE_RUN, ErrorCode.ERROR_CODE_UNSPECIFIED, ErrorCode.UNRECOGNIZED ->
        Attempt.MayHaveRun(error.message)

    else -> Attempt.Rejected(error)
}

private fun refusal(reason: String): AdminError =
    AdminError.newBuilder().setCode(ErrorCode.ERROR_CODE_FORBIDDEN).setMessage(reason).build()

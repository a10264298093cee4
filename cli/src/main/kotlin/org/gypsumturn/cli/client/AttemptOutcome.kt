// Decides what one attempt at a call proves: from the typed error in the trailers if there is one, otherwise from the
// gRPC status and from whether any part of the request may have been sent.

package org.gypsumturn.cli.client

import io.grpc.Metadata
import io.grpc.Status
import io.grpc.StatusRuntimeException
import org.gypsumturn.schema.admin.AdminError
import org.gypsumturn.schema.admin.ErrorCode

/** Outcome of an attempt to make a call at one server. */
internal sealed interface AttemptOutcome<out T> {
    /** The call ran. */
    data class Answered<T>(val value: T) : AttemptOutcome<T>

    /** The call was rejected and had no effect; another server would reject it too. */
    data class Rejected(val error: AdminError) : AttemptOutcome<Nothing>

    /** The call was certainly not carried out by this server; another server may carry it out. */
    data class NotRun(val reason: String) : AttemptOutcome<Nothing>

    /** The call may have been carried out or may still be. */
    data class MayHaveRun(val reason: String) : AttemptOutcome<Nothing>
}

private const val ERROR_TRAILER = "gypsumturn-error-bin"
private val ERROR_KEY: Metadata.Key<ByteArray> = Metadata.Key.of(ERROR_TRAILER, Metadata.BINARY_BYTE_MARSHALLER)

/** Classifies an attempt that ended with [failure]; [mayHaveSent] is false only if no part of the request was sent. */
internal fun classifyFailure(failure: StatusRuntimeException, mayHaveSent: Boolean): AttemptOutcome<Nothing> {
    val typedError = failure.trailers?.get(ERROR_KEY)?.let { runCatching { AdminError.parseFrom(it) }.getOrNull() }
    if (typedError != null) return outcomeOf(typedError)
    val reason = "${failure.status.code} ${failure.status.description.orEmpty()}".trim()
    return when {
        failure.status.code in FINAL_STATUS_CODES -> AttemptOutcome.Rejected(forbiddenError(reason))
        mayHaveSent -> AttemptOutcome.MayHaveRun(reason)
        else -> AttemptOutcome.NotRun(reason)
    }
}

// Status codes that prove, also without a typed error, that the call was not carried out and that another server would
// refuse it too.
private val FINAL_STATUS_CODES =
    setOf(Status.Code.UNAUTHENTICATED, Status.Code.PERMISSION_DENIED, Status.Code.UNIMPLEMENTED)

private fun outcomeOf(error: AdminError): AttemptOutcome<Nothing> = when (error.code) {
    ErrorCode.ERROR_CODE_NOT_RUN -> AttemptOutcome.NotRun(error.message)

    ErrorCode.ERROR_CODE_MAY_HAVE_RUN, ErrorCode.ERROR_CODE_UNSPECIFIED, ErrorCode.UNRECOGNIZED ->
        AttemptOutcome.MayHaveRun(error.message)

    else -> AttemptOutcome.Rejected(error)
}

private fun forbiddenError(reason: String): AdminError =
    AdminError.newBuilder().setCode(ErrorCode.ERROR_CODE_FORBIDDEN).setMessage(reason).build()

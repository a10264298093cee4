// Errors of the administration API. Each failed call returns a gRPC status, for generic clients, and an AdminError with
// the details in the trailers.

package org.gypsumturn.control.admin

import io.grpc.Metadata
import io.grpc.Status
import io.grpc.StatusRuntimeException
import org.gypsumturn.fleet.command.CommandDecision
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict
import org.gypsumturn.schema.admin.AdminError
import org.gypsumturn.schema.admin.ErrorCode
import org.gypsumturn.schema.admin.FieldError

/** Why a call of the administration API failed. */
internal sealed interface CallFailure {
    /** The fleet's rules refused the command. */
    data class Refused(val decision: CommandDecision) : CallFailure

    /** The call was certainly not carried out. */
    data class NotRun(val failure: Failure) : CallFailure

    /** The call may have been carried out. */
    data class MayHaveRun(val failure: Failure) : CallFailure

    /** The call itself is malformed. */
    data class Malformed(val field: String, val problem: String) : CallFailure

    /** An object that the call names does not exist. */
    data class NotFound(val what: String) : CallFailure

    /** The caller's token does not allow the call. */
    data class Forbidden(val message: String) : CallFailure
}

/** The failure that [verdict] reports. */
internal fun failureOf(verdict: Verdict<Nothing>): CallFailure = when (verdict) {
    is Verdict.NotRun -> failureOf(verdict.failure)
    is Verdict.MayHaveRun -> CallFailure.MayHaveRun(verdict.failure)
    is Verdict.Ran -> error("Verdict.Ran is not a failure")
}

private fun failureOf(failure: Failure): CallFailure = when (failure.kind) {
    FailureKind.INVALID -> CallFailure.Malformed("", failure.message)
    else -> CallFailure.NotRun(failure)
}

/** [failure] as an exception that gRPC sends to the caller. */
internal fun toException(failure: CallFailure): StatusRuntimeException {
    val error = toError(failure)
    val trailers = Metadata()
    trailers.put(ERROR_KEY, error.toByteArray())
    return statusOf(error.code).withDescription(error.message).asRuntimeException(trailers)
}

private val ERROR_KEY: Metadata.Key<ByteArray> =
    Metadata.Key.of("gypsumturn-error-bin", Metadata.BINARY_BYTE_MARSHALLER)

private fun toError(failure: CallFailure): AdminError = when (failure) {
    is CallFailure.Refused -> refusalError(failure.decision)
    is CallFailure.NotRun -> notRunError(failure.failure)
    is CallFailure.MayHaveRun -> error(ErrorCode.ERROR_CODE_MAY_HAVE_RUN, failure.failure.message)
    is CallFailure.Malformed -> malformedError(failure)
    is CallFailure.NotFound -> error(ErrorCode.ERROR_CODE_NOT_FOUND, "${failure.what} does not exist")
    is CallFailure.Forbidden -> error(ErrorCode.ERROR_CODE_FORBIDDEN, failure.message)
}

private fun notRunError(failure: Failure): AdminError {
    val code =
        if (failure.kind == FailureKind.CONFLICT) ErrorCode.ERROR_CODE_CONFLICT else ErrorCode.ERROR_CODE_NOT_RUN
    return error(code, failure.message)
}

private fun malformedError(failure: CallFailure.Malformed): AdminError =
    error(ErrorCode.ERROR_CODE_INVALID, failure.problem)
        .toBuilder()
        .addFields(FieldError.newBuilder().setField(failure.field).setProblem(failure.problem))
        .build()

private fun refusalError(decision: CommandDecision): AdminError = when (decision) {
    is CommandDecision.Invalid -> invalidError(decision)

    is CommandDecision.NotFound -> error(ErrorCode.ERROR_CODE_NOT_FOUND, "${decision.what} does not exist")

    is CommandDecision.Conflict -> conflictError(decision)

    is CommandDecision.BudgetExhausted ->
        error(ErrorCode.ERROR_CODE_BUDGET_EXHAUSTED, "pool ${decision.pool}: ${decision.detail}")

    is CommandDecision.WrongState -> error(ErrorCode.ERROR_CODE_WRONG_STATE, decision.detail)

    is CommandDecision.Accepted -> error("an accepted command is not an error")
}

private fun invalidError(decision: CommandDecision.Invalid): AdminError {
    val fields = decision.problems.map { FieldError.newBuilder().setField(it.field).setProblem(it.problem).build() }
    val message = decision.problems.joinToString("; ") { "${it.field}: ${it.problem}" }
    return error(ErrorCode.ERROR_CODE_INVALID, message).toBuilder().addAllFields(fields).build()
}

private fun conflictError(decision: CommandDecision.Conflict): AdminError =
    error(ErrorCode.ERROR_CODE_CONFLICT, "${decision.what} has changed; its revision is ${decision.current}")
        .toBuilder()
        .setCurrentRevision(decision.current.value)
        .build()

private fun error(code: ErrorCode, message: String): AdminError =
    AdminError.newBuilder().setCode(code).setMessage(message).build()

private fun statusOf(code: ErrorCode): Status = when (code) {
    ErrorCode.ERROR_CODE_INVALID -> Status.INVALID_ARGUMENT
    ErrorCode.ERROR_CODE_NOT_FOUND -> Status.NOT_FOUND
    ErrorCode.ERROR_CODE_CONFLICT -> Status.ABORTED
    ErrorCode.ERROR_CODE_BUDGET_EXHAUSTED -> Status.RESOURCE_EXHAUSTED
    ErrorCode.ERROR_CODE_WRONG_STATE -> Status.FAILED_PRECONDITION
    ErrorCode.ERROR_CODE_FORBIDDEN -> Status.PERMISSION_DENIED
    ErrorCode.ERROR_CODE_NOT_RUN -> Status.UNAVAILABLE
    else -> Status.UNKNOWN
}

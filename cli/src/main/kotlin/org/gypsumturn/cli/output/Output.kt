// Prints answers and errors, as text for people or as JSON for programs.

package org.gypsumturn.cli.output

import com.google.protobuf.Message
import com.google.protobuf.util.JsonFormat
import org.gypsumturn.cli.client.CallResult
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.schema.admin.AdminError
import org.gypsumturn.schema.admin.ErrorCode

internal enum class OutputFormat { TABLE, JSON }

/** Prints answers to [out] and errors to [err], both in [format]. Each call of these passes one or more whole lines. */
internal class Output(
    private val format: OutputFormat,
    private val out: (String) -> Unit,
    private val err: (String) -> Unit,
) {
    private val json = JsonFormat.printer().alwaysPrintFieldsWithNoPresence()

    fun printAnswer(message: Message) {
        out(if (format == OutputFormat.JSON) json.print(message) else formatMessage(message).trimEnd())
    }

    /** Prints one [message] of a stream on a line of its own; [text] is the line that people see. */
    fun printStreamed(message: Message, text: String) {
        out(if (format == OutputFormat.JSON) json.omittingInsignificantWhitespace().print(message) else text)
    }

    /**
     * Prints [result] and returns its exit code. [operationId] identifies a change, so that an operator can repeat it
     * safely; it is null for calls that change nothing.
     */
    fun printResult(result: CallResult<Message>, operationId: String?): Int = when (result) {
        is CallResult.Answered -> {
            printAnswer(result.value)
            ExitCode.OK
        }

        is CallResult.Rejected -> {
            printError(result.error)
            ExitCode.FAILED
        }

        is CallResult.Unanswered -> {
            printError(unansweredError(result, operationId))
            if (result.mayHaveRun) ExitCode.MAY_HAVE_RUN else ExitCode.FAILED
        }
    }

    private fun unansweredError(result: CallResult.Unanswered, operationId: String?): AdminError {
        val code = if (result.mayHaveRun) ErrorCode.ERROR_CODE_MAY_HAVE_RUN else ErrorCode.ERROR_CODE_NOT_RUN
        val hint = if (result.mayHaveRun) "; to repeat the change safely, use --operation-id $operationId" else ""
        val message = "no server gave a conclusive answer (${result.attempts.joinToString("; ")})$hint"
        return AdminError.newBuilder().setCode(code).setMessage(message).build()
    }

    private fun printError(error: AdminError) {
        if (format == OutputFormat.JSON) return err(json.print(error))
        val code = error.code.name.removePrefix("ERROR_CODE_").lowercase().replace('_', '-')
        val revision = if (error.currentRevision != 0L) " (current revision ${error.currentRevision})" else ""
        err("gypsumturn: $code: ${error.message}$revision")
        error.fieldsList.forEach { err("  ${it.field}: ${it.problem}") }
    }
}

// Prints answers and errors, as text for people or as JSON for programs.

package org.gypsumturn.cli.output

import com.google.protobuf.Message
import com.google.protobuf.util.JsonFormat
import org.gypsumturn.cli.client.CallResult
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.schema.admin.AdminError
import org.gypsumturn.schema.admin.ErrorCode

/** Form of the output. */
internal enum class OutputFormat { TABLE, JSON }

/** Where answers ([out]) and errors ([err]) go; each call hands over whole lines. */
internal class Output(
    private val format: OutputFormat,
    private val out: (String) -> Unit,
    private val err: (String) -> Unit,
) {
    private val json = JsonFormat.printer().alwaysPrintFieldsWithNoPresence()

    /** Prints an answer. */
    fun answer(message: Message) {
        out(if (format == OutputFormat.JSON) json.print(message) else textOf(message).trimEnd())
    }

    /** Prints one of a stream of answers on a line of its own; [text] is its form for people. */
    fun line(message: Message, text: String) {
        out(if (format == OutputFormat.JSON) json.omittingInsignificantWhitespace().print(message) else text)
    }

    /** Prints [result] and returns the exit code that stands for it. */
    fun end(result: CallResult<Message>, operationId: String?): Int = when (result) {
        is CallResult.Answered -> {
            answer(result.value)
            ExitCode.OK
        }

        is CallResult.Rejected -> {
            error(result.error)
            ExitCode.FAILED
        }

        is CallResult.Unanswered -> {
            error(unanswered(result, operationId))
            if (result.mayHaveRun) ExitCode.MAY_HAVE_RUN else ExitCode.FAILED
        }
    }

    private fun unanswered(result: CallResult.Unanswered, operationId: String?): AdminError {
        val code = if (result.mayHaveRun) ErrorCode.ERROR_CODE_MAY_HAVE_RUN else ErrorCode.ERROR_CODE_NOT_RUN
        val advice = if (result.mayHaveRun) "; repeat the call with --operation-id $operationId" else ""
        val message = "no server gave a final answer (${result.attempts.joinToString("; ")})$advice"
        return AdminError.newBuilder().setCode(code).setMessage(message).build()
    }

    private fun error(error: AdminError) {
        if (format == OutputFormat.JSON) return err(json.print(error))
        val code = error.code.name.removePrefix("ERROR_CODE_").lowercase().replace('_', '-')
        val revision = if (error.currentRevision != 0L) " (current revision ${error.currentRevision})" else ""
        err("gypsumturn: $code: ${error.message}$revision")
        error.fieldsList.forEach { err("  ${it.field}: ${it.problem}") }
    }
}

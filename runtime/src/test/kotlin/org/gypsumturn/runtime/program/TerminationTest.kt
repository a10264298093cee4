// Tests the exit codes of invalid command lines and of help.

package org.gypsumturn.runtime.program

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.optional

class TerminationTest : AnnotationSpec() {
    private fun exitOf(vararg args: String): CommandLineExit {
        val parser = ArgParser("program")
        parser.throwOnExit()
        parser.option(ArgType.Int, "count")
        parser.argument(ACTION_TYPE, "action").optional()
        return shouldThrow<CommandLineExit> { parser.parse(arrayOf(*args)) }
    }

    @Test
    fun `an invalid command line exits with the usage code and its error text, and help exits with success`() {
        exitOf("--count", "many").exitCode shouldBe ExitCode.USAGE
        listOf("--bogus", "chekc-config").forEach { exitOf(it).text shouldContain it }
        exitOf("--help").exitCode shouldBe ExitCode.OK
    }
}

package org.gypsumturn.runtime.program

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.optional

class TerminationTest : AnnotationSpec() {
    private fun endOf(vararg args: String): CommandLineEnd {
        val parser = ArgParser("program")
        parser.throwOnEnd()
        parser.option(ArgType.Int, "count")
        parser.argument(ACTION_TYPE, "action").optional()
        return shouldThrow<CommandLineEnd> { parser.parse(arrayOf(*args)) }
    }

    @Test
    fun `a wrong command line ends with the usage code, and help with success`() {
        endOf("--count", "many").exitCode shouldBe ExitCode.USAGE
        listOf("--bogus", "chekc-config").forEach { endOf(it).text shouldContain it }
        endOf("--help").exitCode shouldBe ExitCode.OK
    }
}

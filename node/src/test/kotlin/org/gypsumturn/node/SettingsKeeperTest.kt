package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.runtime.program.onReload
import org.gypsumturn.runtime.settings.SettingsResult
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.settings.wholeNumber
import sun.misc.Signal
import java.io.File
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class SettingsKeeperTest : AnnotationSpec() {
    private val stop = wholeNumber("limits", "stop_millis", 900, 0L..5_000L, "milliseconds", "time of a stop")
    private val schema = SettingsSchema(listOf(stop))

    private fun file(millis: String): File {
        val file = File.createTempFile("node", ".ini")
        file.deleteOnExit()
        write(file, millis)
        return file
    }

    private fun write(file: File, millis: String) {
        file.writeText("[limits]\nstop_millis = $millis\n")
    }

    private fun keeper(file: File): SettingsKeeper {
        val loaded = schema.load(file).shouldBeInstanceOf<SettingsResult.Loaded>()
        return SettingsKeeper(schema, file, loaded.settings)
    }

    @Test
    fun `a file that changes without a signal takes effect`() {
        val file = file("900")
        val keeper = keeper(file)
        write(file, "300")
        keeper.check(asked = false)
        keeper.current[stop] shouldBe 300
    }

    @Test
    fun `a file that is wrong leaves the last good one in force`() {
        val file = file("900")
        val keeper = keeper(file)
        write(file, "soon")
        keeper.check(asked = true)
        keeper.current[stop] shouldBe 900
    }

    @Test
    fun `a request to reload does not end the process`() {
        val asked = CountDownLatch(1)
        onReload { asked.countDown() }
        Signal.raise(Signal("HUP"))
        asked.await(10, TimeUnit.SECONDS) shouldBe true
    }
}

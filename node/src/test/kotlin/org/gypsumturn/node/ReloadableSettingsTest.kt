// Tests of the reload of the settings file.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.runtime.program.ReloadSignal
import org.gypsumturn.runtime.settings.SettingsResult
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.settings.wholeNumber
import sun.misc.Signal
import java.io.File
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class ReloadableSettingsTest : AnnotationSpec() {
    private val stopMillis = wholeNumber("limits", "stop_millis", 900, 0L..5_000L, "milliseconds", "time of a stop")
    private val schema = SettingsSchema(listOf(stopMillis))

    private fun file(millis: String): File {
        val file = File.createTempFile("node", ".ini")
        file.deleteOnExit()
        write(file, millis)
        return file
    }

    private fun write(file: File, millis: String) {
        file.writeText("[limits]\nstop_millis = $millis\n")
    }

    private fun load(file: File): ReloadableSettings {
        val result = schema.load(file).shouldBeInstanceOf<SettingsResult.Loaded>()
        return ReloadableSettings(schema, file, result.settings)
    }

    @Test
    fun `a changed file takes effect without a request to reload`() {
        val file = file("900")
        val settings = load(file)
        write(file, "300")
        settings.reloadIfNeeded(requested = false)
        settings.current[stopMillis] shouldBe 300
    }

    @Test
    fun `an invalid file leaves the settings in force unchanged`() {
        val file = file("900")
        val settings = load(file)
        write(file, "soon")
        settings.reloadIfNeeded(requested = true)
        settings.current[stopMillis] shouldBe 900
    }

    @Test
    fun `a HUP signal calls the reload handler and does not end the process`() {
        val requested = CountDownLatch(1)
        ReloadSignal().handleWith { requested.countDown() }
        Signal.raise(Signal("HUP"))
        requested.await(10, TimeUnit.SECONDS) shouldBe true
    }
}

// Tests the loading of settings: defaults, and the problems that are reported for a file.

package org.gypsumturn.runtime.settings

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.io.File

class SettingsTest : AnnotationSpec() {
    private val lease = wholeNumber("view", "lease_millis", 3_000, 100L..60_000L, "milliseconds", "lease of the view")
    private val listen = address("entry", "address", null, "address for callers")
    private val schema = SettingsSchema(listOf(lease, listen))

    private fun load(content: String): SettingsResult {
        val file = File.createTempFile("settings", ".ini")
        file.deleteOnExit()
        file.writeText(content)
        return schema.load(file)
    }

    private fun problems(content: String) = load(content).shouldBeInstanceOf<SettingsResult.Rejected>().problems

    @Test
    fun `settings that the file does not contain get their defaults`() {
        val loaded = load("[entry]\naddress = 127.0.0.1:8080\n").shouldBeInstanceOf<SettingsResult.Loaded>()
        loaded.settings[lease] shouldBe 3_000
        loaded.settings[listen] shouldBe HostAndPort("127.0.0.1", 8080)
    }

    @Test
    fun `a value with a unit suffix is rejected, and the problem names the allowed values and the unit`() {
        val problem = problems("[entry]\naddress = 127.0.0.1:8080\n[view]\nlease_millis = 3s\n").single()
        problem.kind shouldBe SettingsProblemKind.BAD_VALUE
        problem.toString() shouldContain "[view] lease_millis: bad value \"3s\""
        problem.toString() shouldContain "a whole number from 100 to 60000, in milliseconds"
    }

    // Guards against: a process that does not start since its platform can't fill in one form of placeholder.
    @Test
    fun `a setting whose placeholder was not filled in gets its default and is named`() {
        val line = "lease_millis = {{#quota}}500{{/quota}}{{^quota}}{{lease|json}}{{/quota}}"
        val loaded = load("[entry]\naddress = 127.0.0.1:8080\n[view]\n$line\n")
            .shouldBeInstanceOf<SettingsResult.Loaded>()
        loaded.settings[lease] shouldBe 3_000
        loaded.settings.notFilled.single() shouldContain "[view] lease_millis: {{#quota}}500"
    }

    @Test
    fun `a required setting whose placeholder was not filled in is missing`() {
        problems("[entry]\naddress = {{listen}}\n").single().kind shouldBe SettingsProblemKind.MISSING
    }

    @Test
    fun `all problems of a file are reported together`() {
        val found = problems("[entry]\nadress = 127.0.0.1:8080\n[view]\nlease_millis = 1\nlease_millis = 2\n")
        found.map { it.kind } shouldContainExactlyInAnyOrder
            listOf(SettingsProblemKind.UNKNOWN, SettingsProblemKind.DUPLICATE, SettingsProblemKind.MISSING)
    }

    @Test
    fun `a host name is rejected where an IP address is required`() {
        problems("[entry]\naddress = localhost:80\n").single().kind shouldBe SettingsProblemKind.BAD_VALUE
    }

    @Test
    fun `a byte order mark at the start of a file is ignored`() {
        val loaded = load("\uFEFF[entry]\naddress = 127.0.0.1:8080\n").shouldBeInstanceOf<SettingsResult.Loaded>()
        loaded.settings[listen] shouldBe HostAndPort("127.0.0.1", 8080)
    }

    @Test
    fun `a file that does not exist is reported as unreadable`() {
        val result = schema.load(File("/nonexistent/settings.ini")).shouldBeInstanceOf<SettingsResult.Rejected>()
        result.problems.single().kind shouldBe SettingsProblemKind.UNREADABLE_FILE
    }
}

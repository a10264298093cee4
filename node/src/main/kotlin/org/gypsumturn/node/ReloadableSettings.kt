// Reloads the settings file when that is requested or when the file has changed. The settings in force stay as they
// are if the file is invalid.

package org.gypsumturn.node

import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.SettingsResult
import org.gypsumturn.runtime.settings.SettingsSchema
import java.io.File

/** The settings of [file], which can be reloaded. [initial] is what was read from the file at the start. */
public class ReloadableSettings(private val schema: SettingsSchema, private val file: File?, initial: Settings) {
    /** The settings in force, readable from any thread. */
    @Volatile
    public var current: Settings = initial
        private set

    private var lastText = readFile()

    /**
     * Reloads the file if it has changed since it was last read, or in any case if [requested]. Settings that are
     * rejected are logged and do not take effect.
     */
    @Synchronized
    public fun reloadIfNeeded(requested: Boolean) {
        val text = readFile()
        if (!requested && text == lastText) return
        lastText = text
        when (val result = schema.load(file)) {
            is SettingsResult.Loaded -> apply(result.settings, requested)
            is SettingsResult.Rejected -> result.problems.forEach { logEvent("settings rejected", "problem" to it) }
        }
    }

    private fun apply(settings: Settings, requested: Boolean) {
        val before = current
        val changed = schema.settings.filter { settings[it] != before[it] }.map { "${it.section}.${it.key}" }
        current = settings
        logEvent("settings reloaded", "asked" to requested, "changed" to changed, "not_filled" to settings.notFilled)
    }

    private fun readFile(): String? = file?.takeIf { it.canRead() }?.readText()
}

// Reads the settings file again when it is told to or when the file has changed. A file that is wrong changes nothing.

package org.gypsumturn.node

import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.SettingsResult
import org.gypsumturn.runtime.settings.SettingsSchema
import java.io.File

/** Keeps the settings of [file], which were read as [initial]. */
public class SettingsKeeper(private val schema: SettingsSchema, private val file: File?, initial: Settings) {
    /** The settings in force. */
    @Volatile
    public var current: Settings = initial
        private set

    private var readText = text()

    /** Reads the file if it has changed since the last reading, or in any case if it was [asked] for. */
    @Synchronized
    public fun check(asked: Boolean) {
        val text = text()
        if (!asked && text == readText) return
        readText = text
        when (val result = schema.load(file)) {
            is SettingsResult.Loaded -> take(result.settings, asked)
            is SettingsResult.Rejected -> result.problems.forEach { logEvent("settings rejected", "problem" to it) }
        }
    }

    private fun take(settings: Settings, asked: Boolean) {
        val before = current
        val changed = schema.settings.filter { settings[it] != before[it] }.map { "${it.section}.${it.key}" }
        current = settings
        logEvent("settings reloaded", "asked" to asked, "changed" to changed)
    }

    private fun text(): String? = file?.takeIf { it.canRead() }?.readText()
}

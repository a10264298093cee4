// Settings of the experiment tool, read from a settings file in place of command-line arguments.

package org.gypsumturn.bench

import org.gypsumturn.runtime.settings.Setting
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.settings.flag
import org.gypsumturn.runtime.settings.names

/** Settings of the section `bench`. */
internal object BenchSettings {
    private val quick: Setting<Boolean> = flag("bench", "quick", false, "run the small fixed set")
    private val experiments: Setting<List<String>> =
        names("bench", "experiments", emptyList(), "experiments to run; all of them if it is not set")

    val schema = SettingsSchema(listOf(quick, experiments))

    /** Converts [settings] into the equivalent command-line arguments. */
    fun toArguments(settings: Settings): List<String> =
        settings[experiments] + if (settings[quick]) listOf(QUICK_OPTION) else emptyList()
}

/** Selects the small fixed set of cases of each experiment. */
internal const val QUICK_OPTION = "--quick"

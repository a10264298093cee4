// Report of an experiment: prints remarks on the baseline, and each measurement with its unit and bound. A broken
// bound fails the run.

package org.gypsumturn.bench

import java.util.Locale

/** On which side of its bound a value must stay. */
public enum class BoundSide { AT_MOST, AT_LEAST }

/** A bound taken from the stated target. */
public data class Bound(public val side: BoundSide, public val value: Double)

/** One measured figure with its unit, and the bound that it must keep, if it has one. */
public data class Measurement(
    public val name: String,
    public val value: Double,
    public val unit: String,
    public val bound: Bound? = null,
) {
    /** Whether the value keeps its bound; true if it has none. */
    public val holds: Boolean
        get() =
            when (bound?.side) {
                null -> true
                BoundSide.AT_MOST -> value <= bound.value
                BoundSide.AT_LEAST -> value >= bound.value
            }
}

/** Collects the measurements of one run, and prints each of them as one line as soon as it is recorded. */
public class Report(private val print: (String) -> Unit) {
    private val collected = mutableListOf<Measurement>()

    /** The measurements recorded so far, in the order of recording. */
    public val measurements: List<Measurement> get() = collected

    /** Whether every measurement keeps its bound. */
    public val holds: Boolean get() = collected.all { it.holds }

    /** Prints a heading above the measurements that follow. */
    public fun heading(text: String) {
        print("")
        print("## $text")
    }

    /** Prints a line of explanation, such as what was run, with which seeds, against which baseline. */
    public fun remark(text: String) {
        print(text)
    }

    /** Records a figure without a bound. */
    public fun figure(name: String, value: Double, unit: String) {
        record(Measurement(name, value, unit))
    }

    /** Records a figure that may be at most [bound]. */
    public fun atMost(name: String, value: Double, unit: String, bound: Double) {
        record(Measurement(name, value, unit, Bound(BoundSide.AT_MOST, bound)))
    }

    /** Records a figure that must be at least [bound]. */
    public fun atLeast(name: String, value: Double, unit: String, bound: Double) {
        record(Measurement(name, value, unit, Bound(BoundSide.AT_LEAST, bound)))
    }

    private fun record(measurement: Measurement) {
        collected += measurement
        print(format(measurement))
    }

    private fun format(measurement: Measurement): String {
        val value = String.format(Locale.ROOT, "%,.3f", measurement.value).removeSuffix("000").removeSuffix(".")
        val line = "${measurement.name.padEnd(NAME_WIDTH)} ${value.padStart(VALUE_WIDTH)} ${measurement.unit}"
        val bound = measurement.bound ?: return line
        val sign = if (bound.side == BoundSide.AT_MOST) "<=" else ">="
        val verdict = if (measurement.holds) "ok" else "BROKEN"
        return "$line   bound $sign ${bound.value}: $verdict"
    }

    private companion object {
        const val NAME_WIDTH = 64
        const val VALUE_WIDTH = 16
    }
}

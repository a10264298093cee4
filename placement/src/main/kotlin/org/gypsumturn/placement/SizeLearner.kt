// What jobs of a class really use. Declared sizes start an estimate; measured ones outweigh them as they come in.

package org.gypsumturn.placement

import com.tdunning.math.stats.MergingDigest
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobSpec
import kotlin.math.roundToLong

/** Learns quantiles of size and run time of each class of jobs. */
public class SizeLearner(private val settings: PlacementSettings) {
    private val classes = HashMap<JobClassId, ClassSizes>()

    /** Number of classes of which something was measured. */
    public val classCount: Int get() = classes.size

    /** Takes in the greatest [usage] and the run time of a job that ended well. */
    public fun learn(spec: JobSpec, usage: Capacity, ranMillis: Long) {
        classes.getOrPut(spec.jobClass) { ClassSizes() }.add(usage, ranMillis)
    }

    /** Capacity to set aside for a job. Accelerators are whole and never less than declared. */
    public fun estimate(spec: JobSpec): Capacity {
        val learned = classes[spec.jobClass] ?: return spec.declared
        val weight = learned.count / (learned.count + settings.declaredWeight)
        val processors = learned.processors.quantile(settings.processorQuantile)
        val memory = learned.memory.quantile(settings.memoryQuantile)
        return Capacity(
            blend(spec.declared.processorsMilli, processors, weight).coerceAtLeast(MIN_PROCESSORS_MILLI),
            blend(spec.declared.memoryMib, memory, weight).coerceAtLeast(MIN_MEMORY_MIB),
            spec.declared.accelerators,
        )
    }

    /** Run time to expect of a job, as its median, in milliseconds. */
    public fun expectedMillis(spec: JobSpec): Long {
        val learned = classes[spec.jobClass] ?: return spec.declaredMillis
        val weight = learned.count / (learned.count + settings.declaredWeight)
        return blend(spec.declaredMillis, learned.runMillis.quantile(MEDIAN), weight)
    }

    private fun blend(declared: Long, learned: Double, weight: Double): Long =
        (declared * (1 - weight) + learned * weight).roundToLong()

    private class ClassSizes {
        var count = 0.0
        val processors = MergingDigest(COMPRESSION)
        val memory = MergingDigest(COMPRESSION)
        val runMillis = MergingDigest(COMPRESSION)

        fun add(usage: Capacity, ranMillis: Long) {
            count++
            processors.add(usage.processorsMilli.toDouble())
            memory.add(usage.memoryMib.toDouble())
            runMillis.add(ranMillis.toDouble())
        }
    }

    private companion object {
        const val COMPRESSION = 30.0
        const val MEDIAN = 0.5
        const val MIN_PROCESSORS_MILLI = 10L
        const val MIN_MEMORY_MIB = 8L
    }
}

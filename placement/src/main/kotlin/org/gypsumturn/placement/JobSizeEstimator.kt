// Estimates the size and run time of jobs. An estimate starts from the declared values; measured values of the same job
// class outweigh them as more jobs finish.

package org.gypsumturn.placement

import com.tdunning.math.stats.MergingDigest
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobSpec
import kotlin.math.roundToLong

/** Learns quantiles of the size and the run time of each job class. */
public class JobSizeEstimator(private val settings: PlacementSettings) {
    private val classes = HashMap<JobClassId, ClassSizes>()

    /** Number of job classes with at least one measured job. */
    public val classCount: Int get() = classes.size

    /** Adds the peak [usage] and the run time of a successful job to the statistics of its class. */
    public fun recordUsage(spec: JobSpec, usage: Capacity, ranMillis: Long) {
        classes.getOrPut(spec.jobClass) { ClassSizes() }.add(usage, ranMillis)
    }

    /** Capacity to allocate to a job. The number of accelerators is always the declared one. */
    public fun estimateCapacity(spec: JobSpec): Capacity {
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

    /** Expected run time of a job: the median of its class, blended with the declared run time. */
    public fun expectedRunMillis(spec: JobSpec): Long {
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

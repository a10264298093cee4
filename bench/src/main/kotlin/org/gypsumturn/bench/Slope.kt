// Fits a straight line to measured points, to show how a cost grows with a size.

package org.gypsumturn.bench

/** One point of a series: a size, and the value that was measured at this size. */
internal data class Point(val size: Double, val value: Double)

/** Slope of the least-squares line through [points], which must have at least two different sizes. */
internal fun slopeOf(points: List<Point>): Double {
    val meanSize = points.sumOf { it.size } / points.size
    val meanValue = points.sumOf { it.value } / points.size
    val covariance = points.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    return covariance / points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
}

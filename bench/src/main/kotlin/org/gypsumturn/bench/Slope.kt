// Straight line through measured points.

package org.gypsumturn.bench

/** One point of a series: a size and what was measured there. */
internal data class Point(val size: Double, val value: Double)

/** Slope of the line through [points] by least squares. */
internal fun slopeOf(points: List<Point>): Double {
    val meanSize = points.sumOf { it.size } / points.size
    val meanValue = points.sumOf { it.value } / points.size
    val covariance = points.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    return covariance / points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
}

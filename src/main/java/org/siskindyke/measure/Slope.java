package org.siskindyke.measure;

import java.util.List;

/**
 * A straight line fitted to measurements by least squares.
 *
 * @param intercept value at size zero
 * @param perUnit increase of the value per unit of size
 */
record Slope(double intercept, double perUnit) {
    /**
     * One measurement.
     *
     * @param size size at which it was taken
     * @param value measured value
     */
    record Point(double size, double value) {}

    static Slope fit(List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            covariance += (point.size() - meanSize) * (point.value() - meanValue);
            variance += (point.size() - meanSize) * (point.size() - meanSize);
        }
        double perUnit = variance == 0 ? 0 : covariance / variance;
        return new Slope(meanValue - perUnit * meanSize, perUnit);
    }

    double at(double size) {
        return intercept + perUnit * size;
    }
}

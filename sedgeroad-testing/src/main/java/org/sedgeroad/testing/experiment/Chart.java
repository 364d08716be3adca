package org.sedgeroad.testing.experiment;

import java.util.List;

/**
 * Line chart.
 *
 * @param title title above the chart
 * @param xLabel quantity and unit of the horizontal axis
 * @param yLabel quantity and unit of the vertical axis
 * @param lines lines, which share both axes
 */
public record Chart(String title, String xLabel, String yLabel, List<Line> lines) {

  /** Makes an immutable copy of the lines. */
  public Chart {
    lines = List.copyOf(lines);
  }

  /**
   * Line of a chart.
   *
   * @param name name in the legend
   * @param points points in ascending order of x
   */
  public record Line(String name, List<Point> points) {}

  /**
   * Point of a line.
   *
   * @param x value on the horizontal axis
   * @param y value on the vertical axis
   */
  public record Point(double x, double y) {}
}

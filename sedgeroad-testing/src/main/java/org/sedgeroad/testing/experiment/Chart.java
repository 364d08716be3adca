package org.sedgeroad.testing.experiment;

import java.util.List;

/**
 * A plot of lines over a common axis.
 *
 * @param title title
 * @param xLabel quantity and unit of the horizontal axis
 * @param yLabel quantity and unit of the vertical axis
 * @param lines the lines
 */
public record Chart(String title, String xLabel, String yLabel, List<Line> lines) {

  /** Copies the lines. */
  public Chart {
    lines = List.copyOf(lines);
  }

  /**
   * One line of a plot.
   *
   * @param name name in the legend
   * @param points points in ascending order of x
   */
  public record Line(String name, List<Point> points) {}

  /**
   * A point of a line.
   *
   * @param x horizontal value
   * @param y vertical value
   */
  public record Point(double x, double y) {}
}

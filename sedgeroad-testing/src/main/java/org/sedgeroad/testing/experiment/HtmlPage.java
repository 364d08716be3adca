package org.sedgeroad.testing.experiment;

import java.util.List;
import java.util.Locale;

/** Static methods that render a result as a self-contained HTML page. */
final class HtmlPage {
  private static final int WIDTH = 760;
  private static final int HEIGHT = 320;
  private static final int LEFT = 70;
  private static final int RIGHT = 20;
  private static final int TOP = 20;
  private static final int BOTTOM = 45;
  private static final int STEPS = 5;

  /** Colours that can be told apart with the common colour vision deficiencies. */
  private static final List<String> COLOURS =
      List.of("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000");

  private HtmlPage() {}

  /** Returns the HTML page for a result. */
  static String of(ExperimentResult result) {
    StringBuilder page = new StringBuilder();
    page.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
        .append(escape(result.experiment()))
        .append("</title><style>body{font:15px sans-serif;max-width:820px;margin:2em auto}")
        .append("table{border-collapse:collapse}td,th{padding:3px 12px;text-align:right;")
        .append("border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}")
        .append(".no{color:#b00020;font-weight:bold}</style></head><body><h1>")
        .append(escape(result.experiment()))
        .append("</h1><p>Seed ")
        .append(result.seed())
        .append("</p>");
    table(page, result);
    result.notes().forEach(note -> page.append("<p>").append(escape(note)).append("</p>"));
    result.charts().forEach(chart -> chart(page, chart));
    return page.append("</body></html>\n").toString();
  }

  private static void table(StringBuilder page, ExperimentResult result) {
    page.append("<table><tr><th>figure</th><th>value</th><th>target</th><th>met</th>");
    result.baselines().keySet().forEach(name -> cell(page, "th", name));
    page.append("</tr>");
    for (Figure figure : result.figures()) {
      page.append("<tr>");
      cell(page, "td", figure.name());
      cell(page, "td", figure.formattedValue());
      cell(page, "td", figure.target() == null ? "" : figure.target().toString());
      String met = figure.met() ? "yes" : "<span class=\"no\">no</span>";
      page.append("<td>").append(figure.target() == null ? "" : met).append("</td>");
      result
          .baselines()
          .values()
          .forEach(
              values -> {
                Double value = values.get(figure.name());
                cell(page, "td", value == null ? "" : Figure.reported("", value).formattedValue());
              });
      page.append("</tr>");
    }
    page.append("</table>");
  }

  private static void cell(StringBuilder page, String tag, String text) {
    page.append('<').append(tag).append('>').append(escape(text));
    page.append("</").append(tag).append('>');
  }

  private static void chart(StringBuilder page, Chart chart) {
    double maxX = 0;
    double maxY = 0;
    for (Chart.Line line : chart.lines()) {
      for (Chart.Point point : line.points()) {
        maxX = Math.max(maxX, point.x());
        maxY = Math.max(maxY, point.y());
      }
    }
    maxX = maxX == 0 ? 1 : maxX;
    maxY = maxY == 0 ? 1 : maxY * 1.05;
    page.append("<h2>").append(escape(chart.title())).append("</h2>");
    page.append(String.format("<svg viewBox=\"0 0 %d %d\" role=\"img\">", WIDTH, HEIGHT));
    axes(page, chart, maxX, maxY);
    for (int index = 0; index < chart.lines().size(); index++) {
      line(page, chart.lines().get(index), COLOURS.get(index % COLOURS.size()), maxX, maxY);
    }
    page.append("</svg><p>");
    for (int index = 0; index < chart.lines().size(); index++) {
      page.append("<span style=\"color:")
          .append(COLOURS.get(index % COLOURS.size()))
          .append("\">&#9632;</span> ")
          .append(escape(chart.lines().get(index).name()))
          .append(" &nbsp; ");
    }
    page.append("</p>");
  }

  private static void axes(StringBuilder page, Chart chart, double maxX, double maxY) {
    for (int step = 0; step <= STEPS; step++) {
      double x = maxX * step / STEPS;
      double y = maxY * step / STEPS;
      page.append(
          format(
              "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>",
              LEFT, WIDTH - RIGHT, y(y, maxY), y(y, maxY)));
      page.append(
          format(
              "<text x=\"%d\" y=\"%.1f\" font-size=\"12\" text-anchor=\"end\">%.4g</text>",
              LEFT - 6, y(y, maxY) + 4, y));
      page.append(
          format(
              "<text x=\"%.1f\" y=\"%d\" font-size=\"12\" text-anchor=\"middle\">%.4g</text>",
              x(x, maxX), HEIGHT - BOTTOM + 18, x));
    }
    page.append(
        format(
            "<text x=\"%d\" y=\"%d\" font-size=\"12\" text-anchor=\"middle\">%s</text>",
            (LEFT + WIDTH - RIGHT) / 2, HEIGHT - 6, escape(chart.xLabel())));
    page.append(
        format(
            "<text x=\"4\" y=\"%d\" font-size=\"12\">%s</text>", TOP - 6, escape(chart.yLabel())));
  }

  private static void line(
      StringBuilder page, Chart.Line line, String colour, double maxX, double maxY) {
    page.append("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"").append(colour);
    page.append("\" points=\"");
    for (Chart.Point point : line.points()) {
      page.append(format("%.1f,%.1f ", x(point.x(), maxX), y(point.y(), maxY)));
    }
    page.append("\"/>");
  }

  private static double x(double value, double max) {
    return LEFT + value / max * (WIDTH - LEFT - RIGHT);
  }

  private static double y(double value, double max) {
    return HEIGHT - BOTTOM - value / max * (HEIGHT - TOP - BOTTOM);
  }

  private static String format(String pattern, Object... values) {
    return String.format(Locale.ROOT, pattern, values);
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}

package org.sedgeroad.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats a burn report as text. */
public final class BurnText {
  private static final String FORMAT = "%-24s %-6s %-4s %10s %8s %8s %7s %8s %9s %8s %7s";

  private BurnText() {}

  /** Returns the lines of the text, without line ends. */
  public static List<String> lines(BurnReport report) {
    List<String> text = new ArrayList<>();
    text.add("burn report of " + String.join(", ", report.instances()) + " at " + report.at());
    for (org.sedgeroad.ServiceClass serviceClass : org.sedgeroad.ServiceClass.values()) {
      Objective objective = Objective.of(serviceClass);
      text.add(
          "objective "
              + serviceClass.toText()
              + ": "
              + percent(objective.target())
              + " good; good is: "
              + objective.description());
    }
    text.add("");
    text.add(
        String.format(
            FORMAT,
            "member",
            "class",
            "over",
            "total",
            "bad",
            "spent",
            "burn",
            "queue",
            "endpoint",
            "refusal",
            "limit"));
    for (BurnLine line : report.lines()) {
      text.add(
          String.format(
              FORMAT,
              line.member(),
              line.serviceClass().toText(),
              line.window().toText(),
              line.total(),
              line.badTotal(),
              percent(line.budgetSpent()),
              rate(line.burnRate()),
              line.bad().get(Cause.QUEUE),
              line.bad().get(Cause.ENDPOINT),
              line.bad().get(Cause.REFUSAL),
              line.bad().get(Cause.LIMIT)));
    }
    text.add("");
    text.addAll(findings(report));
    return text;
  }

  /**
   * Returns a sentence for each error budget that was spent faster than allowed over the last five
   * minutes, or one sentence that there is none.
   */
  static List<String> findings(BurnReport report) {
    List<String> findings = new ArrayList<>();
    for (BurnLine line : report.lines()) {
      if (line.window() == BurnWindow.FIVE_MINUTES && line.burnRate() > 1) {
        findings.add(
            line.member()
                + " "
                + line.serviceClass().toText()
                + ": now burning "
                + rate(line.burnRate())
                + " times as fast as allowed, most by "
                + line.mainCause().map(Cause::toText).orElse("nothing"));
      }
    }
    return findings.isEmpty() ? List.of("no budget burns faster than allowed") : findings;
  }

  static String percent(double part) {
    return String.format(Locale.ROOT, "%.1f%%", part * 100);
  }

  static String rate(double rate) {
    return String.format(Locale.ROOT, "%.2f", rate);
  }
}

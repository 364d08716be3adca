package org.sedgeroad.burn;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.sedgeroad.ServiceClass;

/** Formats a burn report as one HTML page without references to other files. */
public final class BurnPage {
  /**
   * Burn rate above which a row is marked as fast. At twice the allowed rate, a budget for three
   * days lasts a day and a half.
   */
  private static final double FAST_BURN_RATE = 2;

  private static final String STYLE =
      """
      :root{color-scheme:light dark;--line:#8884;--quiet:#777;--queue:#4c78a8;--endpoint:#e45756;
      --refusal:#b279a2;--limit:#f2a93b}
      body{font:16px/1.5 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem}
      h1{font-size:1.5rem;margin:0}h2{font-size:1.15rem;margin:2rem 0 .2rem}
      p{margin:.3rem 0}.quiet{color:var(--quiet)}
      table{border-collapse:collapse;width:100%;margin-top:.5rem;font-variant-numeric:tabular-nums}
      th,td{padding:.3rem .6rem;text-align:right;border-bottom:1px solid var(--line)}
      th{font-weight:600;font-size:.85rem}th:first-child,td:first-child{text-align:left}
      .bar{display:flex;height:.8rem;width:12rem;background:var(--line);border-radius:2px;
      overflow:hidden}.bar span{display:block}
      .queue{background:var(--queue)}.endpoint{background:var(--endpoint)}
      .refusal{background:var(--refusal)}.limit{background:var(--limit)}
      .key span{display:inline-block;width:.8rem;height:.8rem;margin:0 .3rem 0 1rem}
      .over{font-weight:700}.mark{border:1px solid;border-radius:3px;padding:0 .3rem;
      font-size:.8rem}
      """;

  private BurnPage() {}

  /** Returns the HTML text of the page. */
  public static String html(BurnReport report) {
    StringBuilder page = new StringBuilder();
    page.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">")
        .append("<meta name=\"viewport\" content=\"width=device-width\">")
        .append("<title>Burn report</title><style>")
        .append(STYLE)
        .append("</style></head><body><h1>Burn report</h1><p class=\"quiet\">")
        .append(escape(String.join(", ", report.instances())))
        .append(" · ")
        .append(report.at())
        .append("</p>");
    for (String finding : BurnText.findings(report)) {
      page.append("<p class=\"over\">").append(escape(finding)).append("</p>");
    }
    page.append("<p class=\"key\">Spent by");
    for (Cause cause : Cause.values()) {
      page.append("<span class=\"").append(cause.toText()).append("\"></span>");
      page.append(cause.toText());
    }
    page.append("</p>");
    linesByMemberAndClass(report).values().forEach(lines -> appendGroup(page, lines));
    return page.append("</body></html>\n").toString();
  }

  private static Map<List<Object>, List<BurnLine>> linesByMemberAndClass(BurnReport report) {
    Map<List<Object>, List<BurnLine>> groups = new LinkedHashMap<>();
    for (BurnLine line : report.lines()) {
      groups
          .computeIfAbsent(List.of(line.member(), line.serviceClass()), key -> new ArrayList<>())
          .add(line);
    }
    return groups;
  }

  private static void appendGroup(StringBuilder page, List<BurnLine> lines) {
    ServiceClass serviceClass = lines.get(0).serviceClass();
    Objective objective = Objective.of(serviceClass);
    page.append("<section><h2>")
        .append(escape(lines.get(0).member()))
        .append(", ")
        .append(serviceClass.toText())
        .append("</h2><p class=\"quiet\">")
        .append(BurnText.percent(objective.target()))
        .append(" good; good is: ")
        .append(escape(objective.description()))
        .append("</p><table><thead><tr><th>over<th>total<th>bad<th>budget spent<th>burn rate")
        .append("<th>spent by</tr></thead><tbody>");
    lines.forEach(line -> appendRow(page, line));
    page.append("</tbody></table></section>");
  }

  private static void appendRow(StringBuilder page, BurnLine line) {
    double rate = line.burnRate();
    page.append("<tr><td>")
        .append(line.window().toText())
        .append("<td>")
        .append(line.total())
        .append("<td>")
        .append(line.badTotal())
        .append("<td>")
        .append(BurnText.percent(line.budgetSpent()))
        .append(rate > 1 ? "<td class=\"over\">" : "<td>")
        .append(rate > FAST_BURN_RATE ? "<span class=\"mark\">fast</span> " : "")
        .append(BurnText.rate(rate))
        .append("<td><div class=\"bar\">");
    for (Cause cause : Cause.values()) {
      long count = line.bad().get(cause);
      if (count > 0) {
        page.append(
            String.format(
                Locale.ROOT,
                "<span class=\"%s\" style=\"width:%.1f%%\" title=\"%s: %d\"></span>",
                cause.toText(),
                100.0 * count / line.badTotal(),
                cause.toText(),
                count));
      }
    }
    page.append("</div></tr>");
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}

package org.sedgeroad.check;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;

/** Formats findings as lines of text or as JSON. */
public final class FindingText {
  private FindingText() {}

  /** Returns the highest severity, {@link Severity#NOTE} without findings. */
  public static Severity highest(List<Finding> findings) {
    return findings.stream()
        .map(Finding::severity)
        .max(Comparator.naturalOrder())
        .orElse(Severity.NOTE);
  }

  /** Returns one line: severity, place if there is one, and reason. */
  public static String line(Finding finding) {
    String place = finding.place().isEmpty() ? "" : finding.place() + ": ";
    return finding.severity().text() + ": " + place + finding.reason();
  }

  /**
   * Returns the findings as one JSON object.
   *
   * @param file name of the file that was checked, not null
   */
  public static ObjectNode json(String file, List<Finding> findings) {
    ObjectNode root = JsonNodeFactory.instance.objectNode().put("file", file);
    root.put("errors", count(findings, Severity.ERROR));
    root.put("warnings", count(findings, Severity.WARNING));
    ArrayNode list = root.putArray("findings");
    for (Finding finding : findings) {
      list.addObject()
          .put("severity", finding.severity().text())
          .put("place", finding.place())
          .put("reason", finding.reason());
    }
    return root;
  }

  /** Returns the number of findings of a severity. */
  public static long count(List<Finding> findings, Severity severity) {
    return findings.stream().filter(finding -> finding.severity() == severity).count();
  }
}

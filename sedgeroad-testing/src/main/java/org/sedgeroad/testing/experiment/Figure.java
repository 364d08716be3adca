package org.sedgeroad.testing.experiment;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.math.MathContext;
import java.util.List;
import java.util.Map;

/**
 * One measured figure of an experiment.
 *
 * @param name name of the figure
 * @param value measured value, null if it wasn't measured
 * @param target upper or lower bound of the value, null if the figure is only reported
 * @param met whether the value was measured and is within the bound
 */
public record Figure(String name, Double value, Double target, boolean met) {
  private static final MathContext DIGITS = new MathContext(4);

  /** Returns a figure whose target is an upper bound; null and non-finite values don't meet it. */
  public static Figure atMost(String name, Double value, double target) {
    Double checked = finite(value);
    return new Figure(name, checked, target, checked != null && checked <= target);
  }

  /** Returns a figure whose target is a lower bound; null and non-finite values don't meet it. */
  public static Figure atLeast(String name, Double value, double target) {
    Double checked = finite(value);
    return new Figure(name, checked, target, checked != null && checked >= target);
  }

  /** Returns a figure without a target; it counts as met if the value was measured. */
  public static Figure reported(String name, Double value) {
    Double checked = finite(value);
    return new Figure(name, checked, null, checked != null);
  }

  /** Returns a figure for each value, with an upper bound if there is a target of the same name. */
  static List<Figure> atMost(Map<String, Double> values, Map<String, Double> targets) {
    return values.entrySet().stream()
        .map(
            entry ->
                targets.containsKey(entry.getKey())
                    ? atMost(entry.getKey(), entry.getValue(), targets.get(entry.getKey()))
                    : reported(entry.getKey(), entry.getValue()))
        .toList();
  }

  /** Rounds a value to four significant digits; returns null for null and non-finite values. */
  static Double rounded(Double value) {
    Double checked = finite(value);
    return checked == null
        ? null
        : Double.valueOf(new BigDecimal(checked).round(DIGITS).doubleValue());
  }

  /** Returns the rounded value as text, {@code not measured} if it is missing. */
  String formattedValue() {
    return value == null
        ? "not measured"
        : new BigDecimal(rounded(value)).round(DIGITS).toPlainString();
  }

  ObjectNode toJson() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("name", name).put("value", rounded(value)).put("target", rounded(target));
    return node.put("met", met);
  }

  private static Double finite(Double value) {
    return value == null || !Double.isFinite(value) ? null : value;
  }
}

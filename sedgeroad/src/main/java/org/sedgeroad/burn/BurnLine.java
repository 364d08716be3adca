package org.sedgeroad.burn;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.sedgeroad.ServiceClass;

/**
 * Counts for one member, service class and window.
 *
 * @param member member
 * @param serviceClass service class
 * @param window window
 * @param total number of requests or items that count
 * @param periodTotal total of the longest window, which determines the size of the error budget
 * @param bad number of bad requests or items in the window, by cause; every cause is present
 */
public record BurnLine(
    String member,
    ServiceClass serviceClass,
    BurnWindow window,
    long total,
    long periodTotal,
    Map<Cause, Long> bad) {

  /** Creates a line with a copy of the counts; a missing cause counts as 0. */
  public BurnLine {
    Map<Cause, Long> copy = new EnumMap<>(Cause.class);
    for (Cause cause : Cause.values()) {
      copy.put(cause, bad.getOrDefault(cause, 0L));
    }
    bad = copy;
  }

  static BurnLine of(
      String member,
      ServiceClass serviceClass,
      BurnWindow window,
      long[] totalAndCauses,
      long periodTotal) {
    Map<Cause, Long> bad = new EnumMap<>(Cause.class);
    for (Cause cause : Cause.values()) {
      bad.put(cause, totalAndCauses[1 + cause.ordinal()]);
    }
    return new BurnLine(member, serviceClass, window, totalAndCauses[0], periodTotal, bad);
  }

  static BurnLine fromJson(JsonNode node) {
    Map<Cause, Long> bad = new EnumMap<>(Cause.class);
    for (Cause cause : Cause.values()) {
      bad.put(cause, node.path(cause.toText()).asLong());
    }
    return new BurnLine(
        node.path("member").asText(),
        ServiceClass.valueOf(node.path("class").asText().toUpperCase(Locale.ROOT)),
        BurnWindow.ofText(node.path("window").asText()),
        node.path("total").asLong(),
        node.path("period_total").asLong(),
        bad);
  }

  void writeTo(ObjectNode node) {
    node.put("member", member);
    node.put("class", serviceClass.toText());
    node.put("window", window.toText());
    node.put("total", total);
    node.put("period_total", periodTotal);
    bad.forEach((cause, count) -> node.put(cause.toText(), count));
    node.put("burn_rate", burnRate());
    node.put("budget_spent", budgetSpent());
  }

  /** Returns the sum of this line and the same line of another instance. */
  BurnLine plus(BurnLine other) {
    Map<Cause, Long> sum = new EnumMap<>(bad);
    other.bad.forEach((cause, count) -> sum.merge(cause, count, Long::sum));
    return new BurnLine(
        member, serviceClass, window, total + other.total, periodTotal + other.periodTotal, sum);
  }

  /** Returns the number of bad requests or items, of all causes. */
  public long badTotal() {
    return bad.values().stream().mapToLong(Long::longValue).sum();
  }

  /**
   * Returns the rate at which the error budget is spent, as a multiple of the allowed rate. At 1,
   * the budget lasts exactly for the longest window; at 0, nothing is spent.
   */
  public double burnRate() {
    double allowed = (1 - Objective.of(serviceClass).target()) * total;
    return allowed == 0 ? 0 : badTotal() / allowed;
  }

  /**
   * Returns the fraction of the error budget of the longest window that was spent within this
   * window; 1 is all of it. The budget is proportional to the traffic in the longest window.
   */
  public double budgetSpent() {
    double budget = (1 - Objective.of(serviceClass).target()) * periodTotal;
    return budget == 0 ? 0 : badTotal() / budget;
  }

  /** Returns the cause that spent most of the error budget, empty if nothing was spent. */
  public Optional<Cause> mainCause() {
    return bad.entrySet().stream()
        .filter(entry -> entry.getValue() > 0)
        .max(Comparator.comparingLong(Map.Entry::getValue))
        .map(Map.Entry::getKey);
  }
}

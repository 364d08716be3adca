package org.sedgeroad.burn;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.ServiceClass;

/**
 * Report on what the members' error budgets were spent on, as counted by one or more instances.
 *
 * @param instances names of the instances
 * @param at time of the report
 * @param lines counts for each member, service class and window
 */
public record BurnReport(List<String> instances, Instant at, List<BurnLine> lines) {
  private static final Comparator<BurnLine> LINE_ORDER =
      Comparator.comparing(BurnLine::member)
          .thenComparing(BurnLine::serviceClass)
          .thenComparing(BurnLine::window);

  /** Creates a report with copies of the lists. */
  public BurnReport {
    instances = List.copyOf(instances);
    lines = List.copyOf(lines);
  }

  /** Returns a report with its lines sorted by member, service class and window. */
  static BurnReport of(List<String> instances, Instant at, List<BurnLine> lines) {
    return new BurnReport(instances, at, lines.stream().sorted(LINE_ORDER).toList());
  }

  /**
   * Reads a report from the form that {@link #toJson} writes.
   *
   * @throws IllegalArgumentException if a service class or window is unknown
   * @throws java.time.format.DateTimeParseException if the time is missing or not valid
   */
  public static BurnReport fromJson(JsonNode node) {
    List<String> instances = new ArrayList<>();
    node.path("instances").forEach(name -> instances.add(name.asText()));
    List<BurnLine> lines = new ArrayList<>();
    node.path("lines").forEach(line -> lines.add(BurnLine.fromJson(line)));
    return of(instances, Instant.parse(node.path("at").asText()), lines);
  }

  /** Returns the report as JSON. */
  public ObjectNode toJson() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    ArrayNode names = node.putArray("instances");
    instances.forEach(names::add);
    node.put("at", at.toString());
    ArrayNode objectives = node.putArray("objectives");
    for (ServiceClass serviceClass : ServiceClass.values()) {
      Objective objective = Objective.of(serviceClass);
      objectives
          .addObject()
          .put("class", serviceClass.toText())
          .put("target", objective.target())
          .put("description", objective.description());
    }
    ArrayNode array = node.putArray("lines");
    for (BurnLine line : lines) {
      line.writeTo(array.addObject());
    }
    return node;
  }

  /** Returns the sum of this report and one of other instances, with the later of their times. */
  public BurnReport plus(BurnReport other) {
    List<String> names = new ArrayList<>(instances);
    names.addAll(other.instances);
    Map<List<Object>, BurnLine> sums = new LinkedHashMap<>();
    for (List<BurnLine> part : List.of(lines, other.lines)) {
      part.forEach(line -> sums.merge(key(line), line, BurnLine::plus));
    }
    return of(names, other.at.isAfter(at) ? other.at : at, List.copyOf(sums.values()));
  }

  private static List<Object> key(BurnLine line) {
    return List.of(line.member(), line.serviceClass(), line.window());
  }
}

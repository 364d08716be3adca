package org.sedgeroad.check;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.sedgeroad.check.ConfigurationDocument.RouteEntry;
import org.sedgeroad.check.ConfigurationDocument.SplitPart;
import org.sedgeroad.gateway.RouteKind;

/** Compares two routes field by field. */
final class RouteDifferences {
  private RouteDifferences() {}

  /** Returns the fields other than the name whose values differ, in a new list. */
  static List<Field> between(RouteEntry first, RouteEntry second) {
    Map<Field, Object> secondValues = values(second);
    List<Field> differing = new ArrayList<>();
    values(first)
        .forEach(
            (field, value) -> {
              if (!value.equals(secondValues.get(field))) {
                differing.add(field);
              }
            });
    return differing;
  }

  /** Returns the value of a field as a text for operators. */
  static String text(RouteEntry route, Field field) {
    Object value = values(route).get(field);
    if (value instanceof Map<?, ?> weights) {
      return weights.entrySet().stream()
          .map(entry -> QuotedText.of((String) entry.getKey()) + " " + entry.getValue())
          .collect(Collectors.joining(", "));
    }
    if (value instanceof RouteKind kind) {
      return kind.name().toLowerCase(Locale.ROOT);
    }
    return value instanceof String string ? QuotedText.of(string) : String.valueOf(value);
  }

  private static Map<Field, Object> values(RouteEntry route) {
    Map<Field, Object> values = new EnumMap<>(Field.class);
    values.put(Field.HOST, route.host());
    values.put(Field.PATH_PREFIX, route.pathPrefix());
    values.put(Field.KIND, route.kind());
    values.put(
        Field.SPLIT,
        route.split().stream()
            .collect(
                Collectors.toMap(SplitPart::service, SplitPart::weight, Long::sum, TreeMap::new)));
    values.put(Field.PRIORITY, route.priority());
    values.put(Field.MAXIMUM_ENDPOINTS, route.maximumEndpoints());
    values.put(Field.TIMEOUT, route.timeoutMillis());
    values.put(Field.OBJECTIVE, route.objectiveMillis());
    values.put(Field.RESUMABLE, route.resumable());
    values.put(Field.PUBLIC, route.isPublic());
    values.put(Field.RUN_TARGET, route.runTargetMillis());
    values.put(Field.WAITING_TOKENS, route.waitingTokens());
    return values;
  }
}

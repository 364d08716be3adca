package org.sedgeroad.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * An event read from a log line of an instance. No component may be null.
 *
 * @param time time according to the clock of the instance
 * @param instance name of the instance
 * @param number number that identifies the kind of event
 * @param message message of the event
 * @param fields all other fields except the level, in the order of the line
 */
public record LoggedEvent(
    Instant time, String instance, int number, String message, Map<String, String> fields) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Set<String> COMMON_FIELDS =
      Set.of("time", "level", "event", "message", "instance");

  /** Checks that no component is null. */
  public LoggedEvent {
    Objects.requireNonNull(time);
    Objects.requireNonNull(instance);
    Objects.requireNonNull(message);
    Objects.requireNonNull(fields);
  }

  /** Parses a log line; empty if it holds no event. Text before the JSON object is ignored. */
  public static Optional<LoggedEvent> parse(String line) {
    int start = line.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode node = MAPPER.readTree(line.substring(start));
      if (!node.path("event").isInt()) {
        return Optional.empty();
      }
      Map<String, String> fields = new LinkedHashMap<>();
      node.properties().stream()
          .filter(field -> !COMMON_FIELDS.contains(field.getKey()))
          .forEach(field -> fields.put(field.getKey(), field.getValue().asText()));
      return Optional.of(
          new LoggedEvent(
              Instant.parse(node.path("time").asText()),
              node.path("instance").asText(),
              node.path("event").asInt(),
              node.path("message").asText(),
              fields));
    } catch (JsonProcessingException | DateTimeException invalid) {
      // The line was written by another program or is truncated.
      return Optional.empty();
    }
  }

  /** Returns the value of a field, empty text if the line does not have the field. */
  public String field(String name) {
    return fields.getOrDefault(name, "");
  }
}

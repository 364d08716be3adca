package org.sedgeroad.limit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.LocalTime;
import java.time.format.DateTimeParseException;
import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Values of a member's voted limits.
 *
 * @param values value of each voted kind; a kind without a value is unlimited
 * @param isolatedPpm parts per million of the rates that all failure domains together may use
 *     without a valid lease; 0 to 1,000,000
 */
public record LimitValues(Map<LimitKind, Long> values, int isolatedPpm) {
  /** Parts per million that make up the whole. */
  public static final int MILLION = 1_000_000;

  /** Isolated share of a member without a vote on it: 60%, summed over the failure domains. */
  public static final int DEFAULT_ISOLATED_PPM = 600_000;

  private static final String ISOLATED = "isolated_ppm";

  /**
   * Creates values with a copy of the map.
   *
   * @throws IllegalArgumentException if the isolated share is out of range
   */
  public LimitValues {
    values = Map.copyOf(values);
    if (isolatedPpm < 0 || isolatedPpm > MILLION) {
      throw new IllegalArgumentException("isolated share out of range: " + isolatedPpm);
    }
  }

  /** Returns values without any limit. */
  public static LimitValues unlimited() {
    return new LimitValues(Map.of(), DEFAULT_ISOLATED_PPM);
  }

  /** Reads values from JSON; unknown entries and values out of range are ignored. */
  public static LimitValues fromSpec(JsonNode spec) {
    Map<LimitKind, Long> values = new EnumMap<>(LimitKind.class);
    for (LimitKind kind : LimitKind.values()) {
      JsonNode node = spec.path(kind.toField());
      OptionalLong value =
          kind == LimitKind.JOB_DEADLINE ? minuteOfDay(node.asText()) : number(node);
      if (value.isPresent() && kind.isValid(value.getAsLong())) {
        values.put(kind, value.getAsLong());
      }
    }
    int isolated = spec.path(ISOLATED).asInt(DEFAULT_ISOLATED_PPM);
    return new LimitValues(values, Math.max(0, Math.min(MILLION, isolated)));
  }

  /** Returns the minute of the day of a time such as {@code 06:30}, empty if it is not valid. */
  public static OptionalLong minuteOfDay(String text) {
    try {
      LocalTime time = LocalTime.parse(text);
      return OptionalLong.of(time.getHour() * 60L + time.getMinute());
    } catch (DateTimeParseException invalid) {
      return OptionalLong.empty();
    }
  }

  private static OptionalLong number(JsonNode node) {
    return node.canConvertToLong() ? OptionalLong.of(node.asLong()) : OptionalLong.empty();
  }

  /** Returns the value of a kind, empty if it is unlimited. */
  public OptionalLong value(LimitKind kind) {
    Long value = values.get(kind);
    return value == null ? OptionalLong.empty() : OptionalLong.of(value);
  }

  /** Returns the local time of day by which batch jobs must be complete, null if none was voted. */
  public LocalTime jobDeadline() {
    Long minute = values.get(LimitKind.JOB_DEADLINE);
    return minute == null ? null : LocalTime.ofSecondOfDay(minute * 60);
  }

  /**
   * Returns a copy with one value replaced.
   *
   * @throws IllegalArgumentException if the value is out of the kind's range
   */
  public LimitValues with(LimitKind kind, long value) {
    if (!kind.isValid(value)) {
      throw new IllegalArgumentException(kind.toText() + " out of range: " + value);
    }
    Map<LimitKind, Long> changed = new EnumMap<>(LimitKind.class);
    changed.putAll(values);
    changed.put(kind, value);
    return new LimitValues(changed, isolatedPpm);
  }

  /**
   * Returns a copy with another isolated share.
   *
   * @param ppm the isolated share, 0 to 1,000,000
   * @throws IllegalArgumentException if the share is out of range
   */
  public LimitValues withIsolatedPpm(int ppm) {
    return new LimitValues(values, ppm);
  }

  /** Returns the values as JSON. */
  public ObjectNode toSpec() {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    values.forEach(
        (kind, value) -> {
          if (kind == LimitKind.JOB_DEADLINE) {
            spec.put(kind.toField(), LocalTime.ofSecondOfDay(value * 60).toString());
          } else {
            spec.put(kind.toField(), value);
          }
        });
    return spec.put(ISOLATED, isolatedPpm);
  }
}

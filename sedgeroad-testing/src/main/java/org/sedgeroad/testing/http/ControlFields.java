package org.sedgeroad.testing.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import java.util.Deque;

/**
 * Static methods that read fields of JSON bodies and query parameters of requests to a stand-in.
 * Numbers of a wrong type and negative ones are rejected.
 */
public final class ControlFields {
  private ControlFields() {}

  /**
   * Returns a number of at least 0, or a default value if the field is missing or null.
   *
   * @throws IllegalArgumentException if the field is not a number or is negative
   */
  public static double number(JsonNode body, String field, double defaultValue) {
    JsonNode node = body.get(field);
    if (node == null || node.isNull()) {
      return defaultValue;
    }
    if (!node.isNumber() || node.asDouble() < 0) {
      throw new IllegalArgumentException(field + " must be a number of at least 0");
    }
    return node.asDouble();
  }

  /**
   * Returns a number of at least 0, rounded down to a whole number, or a default value if the field
   * is missing or null.
   *
   * @throws IllegalArgumentException if the field is not a number or is negative
   */
  public static long wholeNumber(JsonNode body, String field, long defaultValue) {
    return (long) number(body, field, defaultValue);
  }

  /**
   * Returns a query parameter that is a whole number of at least 0, or a default value if it is
   * missing or empty.
   *
   * @throws IllegalArgumentException if it is not a whole number or is negative
   */
  public static long queryNumber(HttpServerExchange exchange, String parameter, long defaultValue) {
    Deque<String> values = exchange.getQueryParameters().get(parameter);
    if (values == null || values.getFirst().isEmpty()) {
      return defaultValue;
    }
    long value = Long.parseLong(values.getFirst());
    if (value < 0) {
      throw new IllegalArgumentException(parameter + " is negative");
    }
    return value;
  }

  /** Returns a field as text, or a default value if the field is missing or null. */
  public static String text(JsonNode body, String field, String defaultValue) {
    JsonNode node = body.get(field);
    return node == null || node.isNull() ? defaultValue : node.asText();
  }

  /**
   * Returns a mandatory field as text.
   *
   * @throws IllegalArgumentException if the field is missing, null or empty
   */
  public static String requiredText(JsonNode body, String field) {
    String text = text(body, field, "");
    if (text.isEmpty()) {
      throw new IllegalArgumentException(field + " is missing");
    }
    return text;
  }
}

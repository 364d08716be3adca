package org.sedgeroad.testing.platform;

import io.undertow.server.HttpServerExchange;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Optional;

/**
 * Path and query parameters of a call to the object API.
 *
 * @param kind kind of the objects
 * @param name name of one object, empty for all objects of the kind
 * @param exchange the exchange that holds the query parameters
 */
record ObjectPath(String kind, String name, HttpServerExchange exchange) {
  static final String ROOT = "/apis/sedgeroad.org/v1/";

  /** Returns the parsed path, empty if it is not a path of the object API. */
  static Optional<ObjectPath> parse(HttpServerExchange exchange) {
    // Splits the undecoded path, because a name may contain an escaped slash.
    String path = exchange.getRequestURI();
    if (!path.startsWith(ROOT)) {
      return Optional.empty();
    }
    String[] parts = path.substring(ROOT.length()).split("/", -1);
    if (parts.length > 2 || parts[0].isEmpty() || (parts.length == 2 && parts[1].isEmpty())) {
      return Optional.empty();
    }
    String name = parts.length == 2 ? decode(parts[1]) : "";
    return Optional.of(new ObjectPath(decode(parts[0]), name, exchange));
  }

  String query(String parameter) {
    Deque<String> values = exchange.getQueryParameters().get(parameter);
    return values == null ? "" : values.getFirst();
  }

  /**
   * Returns a query parameter that is a whole number of at least 0, or a default value if it is
   * missing or empty.
   *
   * @throws IllegalArgumentException if it is not a whole number or is negative
   */
  long number(String parameter, long defaultValue) {
    String text = query(parameter);
    if (text.isEmpty()) {
      return defaultValue;
    }
    long value = Long.parseLong(text);
    if (value < 0) {
      throw new IllegalArgumentException(parameter + " is negative");
    }
    return value;
  }

  boolean isWatch() {
    return query("watch").equals("true");
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }
}

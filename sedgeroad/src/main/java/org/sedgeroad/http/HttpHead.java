package org.sedgeroad.http;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Status and headers of an answer.
 *
 * @param status HTTP status code
 * @param headers first value of each header by its name; names are not case-sensitive
 */
public record HttpHead(int status, Map<String, String> headers) {

  /** Copies the headers to a map with case-insensitive names. */
  public HttpHead {
    TreeMap<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    copy.putAll(headers);
    headers = copy;
  }

  /** Returns the first value of a header, empty if it is missing. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }
}

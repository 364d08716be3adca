package org.sedgeroad.http;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Status and headers of an answer.
 *
 * @param status HTTP status code
 * @param headers first value of each header by its name; names are not case-sensitive
 * @param repeated names of the headers that have several values; not case-sensitive
 */
public record HttpHead(int status, Map<String, String> headers, Set<String> repeated) {

  /** Creates a head without repeated headers. */
  public HttpHead(int status, Map<String, String> headers) {
    this(status, headers, Set.of());
  }

  /** Copies the headers to collections with case-insensitive names. */
  public HttpHead {
    TreeMap<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    copy.putAll(headers);
    headers = copy;
    TreeSet<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
    names.addAll(repeated);
    repeated = names;
  }

  /** Returns the first value of a header, empty if it is missing. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }
}

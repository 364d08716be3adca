package org.sedgeroad.http;

import java.net.URI;
import java.util.Map;
import java.util.Objects;

/**
 * An outgoing HTTP request. No component may be null.
 *
 * @param method request method, for example {@code POST}
 * @param uri absolute address with scheme {@code http} or {@code https}
 * @param headers additional headers; they replace the headers {@code Host}, {@code Content-Length}
 *     and {@code Content-Type} that are set by default
 * @param body request body, empty for none; must not be modified
 * @param newConnection whether a new connection must be used instead of a pooled one, and closed
 *     after the answer; needed for a request that must not be repeated, because the server may have
 *     closed a pooled connection, and the outcome of the request would then be unknown
 * @param repeatable whether the request may run twice, so that it may be sent once more if a pooled
 *     connection breaks before the head of the answer; the server may have closed that connection
 *     while it was idle
 * @param deadlineNanos time of the monotonic clock, in nanoseconds, after which the exchange fails
 *     and its connection is closed
 */
public record HttpCall(
    String method,
    URI uri,
    Map<String, String> headers,
    byte[] body,
    boolean newConnection,
    boolean repeatable,
    long deadlineNanos) {

  /** Copies the headers. */
  public HttpCall {
    Objects.requireNonNull(method);
    Objects.requireNonNull(uri);
    headers = Map.copyOf(headers);
    Objects.requireNonNull(body);
  }

  /** Creates a request that is sent once at most. */
  public HttpCall(
      String method,
      URI uri,
      Map<String, String> headers,
      byte[] body,
      boolean newConnection,
      long deadlineNanos) {
    this(method, uri, headers, body, newConnection, false, deadlineNanos);
  }

  /**
   * Returns a GET request without body and headers that may use a pooled connection, and may be
   * sent once more.
   */
  public static HttpCall get(URI uri, long deadlineNanos) {
    return of("GET", uri, new byte[0], deadlineNanos).asRepeatable();
  }

  /**
   * Returns a request without additional headers that may use a pooled connection, and is sent once
   * at most.
   */
  public static HttpCall of(String method, URI uri, byte[] body, long deadlineNanos) {
    return new HttpCall(method, uri, Map.of(), body, false, deadlineNanos);
  }

  /** Returns the same request, which may be sent once more. */
  public HttpCall asRepeatable() {
    return new HttpCall(method, uri, headers, body, newConnection, true, deadlineNanos);
  }
}

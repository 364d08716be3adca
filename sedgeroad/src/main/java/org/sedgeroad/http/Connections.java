package org.sedgeroad.http;

import io.undertow.connector.ByteBufferPool;
import java.net.URI;

/** The connections that exchanges are sent on. Thread-safe. */
interface Connections {
  /**
   * Opens a new connection and sends the request of an exchange on it.
   *
   * @throws java.util.concurrent.RejectedExecutionException if the client is closing
   */
  void connect(HttpExchange exchange);

  /**
   * Puts a connection back into the pool, or closes it if it can't be reused.
   *
   * @param uri any address on the server of the connection
   * @param connection connection without an exchange in progress
   * @param serverIdleSeconds time after which the server closes the idle connection, in seconds;
   *     null if the server does not state it
   */
  void release(URI uri, ValidatedConnection connection, Long serverIdleSeconds);

  /**
   * Closes the idle connections that were put into the pool at a time or before.
   *
   * @param uri any address on the server of the connections
   * @param untilNanos time of the monotonic clock, in nanoseconds
   */
  void closeIdle(URI uri, long untilNanos);

  /** Has the size of an exchange's answer checked until the exchange ends. */
  void guard(HttpExchange exchange);

  /** Returns the buffers for the bytes of answers. */
  ByteBufferPool buffers();
}

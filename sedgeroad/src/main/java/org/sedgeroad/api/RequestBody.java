package org.sedgeroad.api;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;

/**
 * Gives access to the body of a request, which is received before a worker thread handles the
 * request.
 */
final class RequestBody {
  static final AttachmentKey<byte[]> KEY = AttachmentKey.create(byte[].class);

  private RequestBody() {}

  /** Returns the whole body, empty if the request has none. */
  static byte[] of(HttpServerExchange exchange) {
    byte[] body = exchange.getAttachment(KEY);
    return body == null ? new byte[0] : body;
  }
}

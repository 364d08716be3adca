package org.sedgeroad.api;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;

/** The body of a request, received before a worker is taken. */
final class RequestBody {
  static final AttachmentKey<byte[]> KEY = AttachmentKey.create(byte[].class);

  private RequestBody() {}

  /** Returns the whole body, empty for a request without one. */
  static byte[] of(HttpServerExchange exchange) {
    byte[] body = exchange.getAttachment(KEY);
    return body == null ? new byte[0] : body;
  }
}

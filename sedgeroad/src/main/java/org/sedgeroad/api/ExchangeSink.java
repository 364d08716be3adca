package org.sedgeroad.api;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.sedgeroad.WorkState;
import org.sedgeroad.live.AnswerSink;
import org.sedgeroad.live.LiveFailure;

/** Sends an answer to a caller over an Undertow exchange in blocking mode. Not thread-safe. */
final class ExchangeSink implements AnswerSink {
  private final HttpServerExchange exchange;
  private boolean streaming;

  ExchangeSink(HttpServerExchange exchange) {
    this.exchange = exchange;
  }

  @Override
  public void sendEvent(String data) throws IOException {
    startStream();
    write("data: " + data + "\n\n");
  }

  @Override
  public void endStream() throws IOException {
    startStream();
    write("data: [DONE]\n\n");
    exchange.endExchange();
  }

  @Override
  public void sendComplete(int status, String contentType, byte[] body) throws IOException {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
    if (status >= 400) {
      exchange.getResponseHeaders().put(ApiErrors.WORK_STATE, WorkState.RAN.toText());
    }
    exchange.setResponseContentLength(body.length);
    exchange.getOutputStream().write(body);
    exchange.endExchange();
  }

  @Override
  public void fail(LiveFailure failure) throws IOException {
    if (streaming) {
      write("data: " + ApiErrors.body(failure, null) + "\n\n");
      exchange.endExchange();
    } else {
      ApiErrors.send(exchange, failure, null);
    }
  }

  private void startStream() {
    if (!streaming) {
      streaming = true;
      exchange.setStatusCode(200);
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
      exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
    }
  }

  private void write(String text) throws IOException {
    OutputStream output = exchange.getOutputStream();
    output.write(text.getBytes(StandardCharsets.UTF_8));
    output.flush();
  }
}

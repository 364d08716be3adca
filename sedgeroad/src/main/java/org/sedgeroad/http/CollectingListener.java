package org.sedgeroad.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;

/** Collects a whole answer into a future that always completes normally. */
final class CollectingListener implements HttpListener {
  private final CompletableFuture<HttpResult> result = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private HttpHead head;

  CompletableFuture<HttpResult> result() {
    return result;
  }

  @Override
  public void onHead(HttpHead received) {
    head = received;
  }

  @Override
  public void onBytes(ByteBuffer bytes) {
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    body.write(copy, 0, copy.length);
  }

  @Override
  public void onEnd() {
    result.complete(new HttpResult.Answered(head, body.toByteArray()));
  }

  @Override
  public void onFailure(HttpFailure failure) {
    result.complete(new HttpResult.Failed(failure));
  }
}

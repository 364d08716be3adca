package org.sedgeroad.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Collects a whole answer and passes its result on, on the connection's I/O thread. */
final class CollectingListener implements HttpListener {
  private final Consumer<HttpResult> done;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private HttpHead head;

  CollectingListener(Consumer<HttpResult> done) {
    this.done = done;
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
    done.accept(new HttpResult.Answered(head, body.toByteArray()));
  }

  @Override
  public void onFailure(HttpFailure failure) {
    done.accept(new HttpResult.Failed(failure));
  }
}

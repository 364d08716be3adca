package org.sedgeroad.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Collects a whole answer and passes the result to a consumer on the connection's I/O thread. */
final class CollectingListener implements HttpListener {
  /**
   * Largest body that is collected, in bytes; an answer of the store has some megabytes at most.
   */
  static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

  private final Consumer<HttpResult> resultConsumer;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final MemoryBudget.Reservation memory;
  private boolean full;
  private HttpHead head;

  CollectingListener(Consumer<HttpResult> resultConsumer, MemoryBudget budget) {
    this.resultConsumer = resultConsumer;
    this.memory = budget.reserve();
  }

  @Override
  public void onHead(HttpHead received) {
    head = received;
  }

  @Override
  public long maximumBodyBytes() {
    return full ? 0 : MAXIMUM_BODY_BYTES;
  }

  @Override
  public void onBytes(ByteBuffer bytes) {
    full |= !memory.resize((long) body.size() + bytes.remaining());
    if (full) {
      return;
    }
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    body.write(copy, 0, copy.length);
  }

  @Override
  public void onEnd() {
    memory.close();
    resultConsumer.accept(
        full
            ? new HttpResult.Failed(new HttpFailure.Broken("the answer is too long"))
            : new HttpResult.Answered(head, body.toByteArray()));
  }

  @Override
  public void onFailure(HttpFailure failure) {
    memory.close();
    resultConsumer.accept(new HttpResult.Failed(failure));
  }
}

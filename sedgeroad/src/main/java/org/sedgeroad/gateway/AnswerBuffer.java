package org.sedgeroad.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sedgeroad.http.MemoryBudget;

/**
 * Part of an endpoint's answer that is kept for a client: the whole body of an answer that is no
 * stream, and an incomplete event and bytes that the client has not taken of a stream. Used on the
 * event loop.
 */
final class AnswerBuffer implements AutoCloseable {
  /** Largest part of an answer that is kept, in bytes. */
  private static final long MAXIMUM_BYTES = 8 * 1024 * 1024;

  private final MemoryBudget.Reservation memory;
  private final List<byte[]> body = new ArrayList<>();
  private int bodyBytes;

  AnswerBuffer(MemoryBudget budget) {
    this.memory = budget.reserve();
  }

  /** Returns the reason why a part of the body can't be kept; empty if it was added. */
  Optional<String> add(ByteBuffer bytes) {
    Optional<String> refusal = keep((long) bodyBytes + bytes.remaining());
    if (refusal.isEmpty()) {
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      body.add(copy);
      bodyBytes += copy.length;
    }
    return refusal;
  }

  /**
   * Returns the reason why a stream can't be kept any more; empty if it can.
   *
   * @param events events of the stream
   * @param unsentBytes bytes that the client has not taken
   */
  Optional<String> keepStream(EventStreamParser events, long unsentBytes) {
    return events.isTooLong()
        ? Optional.of("the answer has no end")
        : keep(events.heldBytes() + unsentBytes);
  }

  private Optional<String> keep(long bytes) {
    if (bytes > MAXIMUM_BYTES) {
      return Optional.of("the answer has no end");
    }
    return memory.resize(bytes)
        ? Optional.empty()
        : Optional.of("the answers in progress take too much memory");
  }

  /** Returns the body and discards what is kept. */
  byte[] takeBody() {
    ByteBuffer whole = ByteBuffer.allocate(bodyBytes);
    body.forEach(whole::put);
    close();
    return whole.array();
  }

  /** Discards what is kept. */
  @Override
  public void close() {
    body.clear();
    bodyBytes = 0;
    memory.close();
  }
}

package org.sedgeroad.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory for the answers in progress of a process. An answer of usual size always has room; longer
 * ones share the budget, so that many answers without end can't fill the heap. Thread-safe.
 */
public final class MemoryBudget {
  /** Size up to which an answer needs no part of the budget, in bytes. */
  private static final long FREE_BYTES = 64 * 1024;

  /**
   * Part of the heap that the answers may take, as a divisor: an answer takes up to three times its
   * size while it is copied or parsed.
   */
  private static final long HEAP_DIVISOR = 8;

  private final long limitBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  private MemoryBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Returns a budget of a number of bytes.
   *
   * @param bytes size of the budget, at least 0
   */
  public static MemoryBudget ofBytes(long bytes) {
    return new MemoryBudget(bytes);
  }

  /** Returns a budget of a part of the largest heap that the process may have. */
  public static MemoryBudget ofHeap() {
    return new MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /** Returns a reservation without memory. */
  public Reservation reserve() {
    return new Reservation();
  }

  /** Returns the part of the budget that is in use, in bytes. */
  long usedBytes() {
    return usedBytes.get();
  }

  /** The memory of one answer. Used by one thread at a time. */
  public final class Reservation implements AutoCloseable {
    private long charged;

    private Reservation() {}

    /**
     * Changes the memory of the answer.
     *
     * @param bytes size of the answer as it is kept, in bytes
     * @return whether there is room; if not, the reservation stays as it was
     */
    public boolean resize(long bytes) {
      long needed = Math.max(0, bytes - FREE_BYTES);
      long added = needed - charged;
      if (usedBytes.addAndGet(added) > limitBytes && added > 0) {
        usedBytes.addAndGet(-added);
        return false;
      }
      charged = needed;
      return true;
    }

    /** Returns the memory to the budget. */
    @Override
    public void close() {
      usedBytes.addAndGet(-charged);
      charged = 0;
    }
  }
}

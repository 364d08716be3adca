package org.sedgeroad.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The outgoing side towards one peer: queue, connection and unanswered requests. Fields without a
 * concurrent type belong to the network thread.
 */
final class PeerLink {
  private static final long FIRST_BACKOFF_NANOS = 100_000_000L;
  private static final long MAXIMUM_BACKOFF_NANOS = 5_000_000_000L;

  final String peer;
  final SendQueue queue = new SendQueue();
  final Map<Long, CompletableFuture<PeerMessage>> pending = new ConcurrentHashMap<>();

  /** Whether the network thread has been told that the queue is not empty. */
  final AtomicBoolean signalled = new AtomicBoolean();

  PeerConnection connection;
  InetSocketAddress address;
  private long backoffNanos;
  private long retryAtNanos;

  PeerLink(String peer) {
    this.peer = peer;
  }

  boolean mayConnect(InetSocketAddress wanted, long nowNanos) {
    return backoffNanos == 0 || !wanted.equals(address) || nowNanos - retryAtNanos >= 0;
  }

  /**
   * Records that a connection failed or broke.
   *
   * @param jitter random number from 0 to 1, so that peers don't return in step
   */
  void failed(long nowNanos, double jitter) {
    backoffNanos =
        backoffNanos == 0 ? FIRST_BACKOFF_NANOS : Math.min(MAXIMUM_BACKOFF_NANOS, 2 * backoffNanos);
    retryAtNanos = nowNanos + (long) (backoffNanos * (0.5 + jitter / 2));
  }

  void succeeded() {
    backoffNanos = 0;
  }

  /** Fails all unanswered requests and forgets all waiting frames. */
  void abandon(Exception cause) {
    queue.clear();
    pending.values().forEach(future -> future.completeExceptionally(cause));
    pending.clear();
  }
}

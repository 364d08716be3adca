package org.sedgeroad.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The outgoing link to one peer: send queue, connection and pending requests. Fields without a
 * thread-safe type are used only by the network thread.
 */
final class PeerLink {
  private static final long FIRST_BACKOFF_NANOS = 100_000_000L;
  private static final long MAXIMUM_BACKOFF_NANOS = 5_000_000_000L;

  final String peer;
  final SendQueue queue = new SendQueue();
  final Map<Long, CompletableFuture<PeerMessage>> pending = new ConcurrentHashMap<>();

  /** Whether the network thread has been notified of frames in the queue. */
  final AtomicBoolean flushScheduled = new AtomicBoolean();

  PeerConnection connection;
  InetSocketAddress address;
  private long backoffNanos;
  private long retryAtNanos;

  PeerLink(String peer) {
    this.peer = peer;
  }

  /** Returns whether the pause after the last failure is over or the address has changed. */
  boolean mayConnect(InetSocketAddress target, long nowNanos) {
    return backoffNanos == 0 || !target.equals(address) || nowNanos - retryAtNanos >= 0;
  }

  /**
   * Records that a connection failed or broke, and doubles the pause before the next attempt.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @param jitter random number from 0 to 1, so that instances don't reconnect at the same time
   */
  void recordFailure(long nowNanos, double jitter) {
    backoffNanos =
        backoffNanos == 0 ? FIRST_BACKOFF_NANOS : Math.min(MAXIMUM_BACKOFF_NANOS, 2 * backoffNanos);
    retryAtNanos = nowNanos + (long) (backoffNanos * (0.5 + jitter / 2));
  }

  void recordSuccess() {
    backoffNanos = 0;
  }

  /** Fails all pending requests and removes all queued frames. */
  void failPending(Exception cause) {
    queue.clear();
    pending.values().forEach(future -> future.completeExceptionally(cause));
    pending.clear();
  }
}

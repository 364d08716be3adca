package org.sedgeroad.route;

import java.util.HashMap;
import java.util.Map;
import org.sedgeroad.ServiceClass;

/**
 * Rate limiter for this instance's traffic to other regions, with one token bucket for each link.
 * Control messages have the highest priority, then live requests, then batch requests.
 *
 * <p>Control messages are always sent and may make the bucket's balance negative. Live requests may
 * use the whole bucket. Batch requests leave a quarter of it to live requests, so that these rarely
 * wait. All {@code nowNanos} parameters are monotonic times in nanoseconds. Thread-safe.
 */
public final class LinkBudget {
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Size of the bucket in seconds of traffic. A full bucket may be sent at once: with a share of
   * 200 kB/s it holds 50 kB, which a link of 20 Mb/s transmits in 20 ms.
   */
  private static final double BURST_SECONDS = 0.25;

  private static final double BATCH_RESERVE_FRACTION = 0.25;

  private final Map<String, Bucket> buckets = new HashMap<>();
  private double bytesPerSecond;

  private LinkBudget(double bytesPerSecond) {
    this.bytesPerSecond = requirePositive(bytesPerSecond);
  }

  /**
   * Returns a budget with full buckets.
   *
   * @param bytesPerSecond this instance's share of the capacity of each link, above 0
   * @throws IllegalArgumentException if {@code bytesPerSecond} is not above 0
   */
  public static LinkBudget of(double bytesPerSecond) {
    return new LinkBudget(bytesPerSecond);
  }

  /**
   * Changes this instance's share of the capacity of each link, for example when the number of
   * instances has changed.
   *
   * @throws IllegalArgumentException if {@code newBytesPerSecond} is not above 0
   */
  public synchronized void setBytesPerSecond(double newBytesPerSecond, long nowNanos) {
    buckets.values().forEach(bucket -> bucket.refill(bytesPerSecond, nowNanos));
    bytesPerSecond = requirePositive(newBytesPerSecond);
  }

  /** Deducts the bytes of a control message, which is sent in any case. */
  public synchronized void deductControl(String region, long bytes, long nowNanos) {
    bucket(region, nowNanos).balanceBytes -= bytes;
  }

  /**
   * Deducts the bytes of a request if a request of its class may be sent now.
   *
   * @param region region at the other end of the link
   * @param bytes bytes of the request in both directions, as far as known
   * @return whether the request may be sent
   */
  public synchronized boolean tryTake(
      String region, ServiceClass serviceClass, long bytes, long nowNanos) {
    Bucket bucket = bucket(region, nowNanos);
    double deficit = deficit(bucket, serviceClass, bytes);
    if (deficit > 0) {
      return false;
    }
    bucket.balanceBytes -= bytes;
    return true;
  }

  /**
   * Returns the time in nanoseconds after which a request may be sent if nothing else is sent
   * before, 0 if it may be sent now.
   */
  public synchronized long waitNanos(
      String region, ServiceClass serviceClass, long bytes, long nowNanos) {
    double deficit = deficit(bucket(region, nowNanos), serviceClass, bytes);
    return (long) Math.ceil(Math.max(0, deficit) / bytesPerSecond * NANOS_PER_SECOND);
  }

  private double deficit(Bucket bucket, ServiceClass serviceClass, long bytes) {
    double size = bytesPerSecond * BURST_SECONDS;
    // A request larger than three quarters of the bucket is sent once the balance, without the
    // reserve, covers three quarters; otherwise a large batch request would never be sent. The
    // balance may then become negative.
    double required = Math.min(bytes, size * (1 - BATCH_RESERVE_FRACTION));
    double reserved = serviceClass == ServiceClass.LIVE ? 0 : size * BATCH_RESERVE_FRACTION;
    return reserved + required - bucket.balanceBytes;
  }

  private Bucket bucket(String region, long nowNanos) {
    Bucket bucket =
        buckets.computeIfAbsent(
            region, key -> new Bucket(bytesPerSecond * BURST_SECONDS, nowNanos));
    bucket.refill(bytesPerSecond, nowNanos);
    return bucket;
  }

  private static double requirePositive(double bytesPerSecond) {
    if (!(bytesPerSecond > 0)) {
      throw new IllegalArgumentException("bytes per second must be above 0: " + bytesPerSecond);
    }
    return bytesPerSecond;
  }

  /** Token bucket of one link, with a balance in bytes that may be negative. */
  private static final class Bucket {
    private double balanceBytes;
    private long refilledAtNanos;

    Bucket(double bytes, long nowNanos) {
      this.balanceBytes = bytes;
      this.refilledAtNanos = nowNanos;
    }

    void refill(double bytesPerSecond, long nowNanos) {
      long elapsed = Math.max(0, nowNanos - refilledAtNanos);
      double refilledBytes = elapsed / NANOS_PER_SECOND * bytesPerSecond;
      balanceBytes = Math.min(bytesPerSecond * BURST_SECONDS, balanceBytes + refilledBytes);
      refilledAtNanos = Math.max(refilledAtNanos, nowNanos);
    }
  }
}

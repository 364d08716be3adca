package org.sedgeroad.route;

import java.util.HashMap;
import java.util.Map;
import org.sedgeroad.ServiceClass;

/**
 * Bytes that this instance may send over the links to other regions: one token bucket a link, in
 * the order control, then live, then batch.
 *
 * <p>Control messages are always sent and may overdraw the bucket. Live requests are sent while it
 * is not overdrawn. Batch requests leave a quarter of it to live requests, so that one of these
 * rarely waits. Time is an argument. Thread-safe.
 */
public final class LinkBudget {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Time whose bytes may be sent at once; a link of 20 Mb/s takes 50 kB in 20 ms. */
  private static final double BURST_SECONDS = 0.25;

  private static final double BATCH_RESERVE = 0.25;

  private final Map<String, Bucket> buckets = new HashMap<>();
  private double bytesPerSecond;

  private LinkBudget(double bytesPerSecond) {
    this.bytesPerSecond = check(bytesPerSecond);
  }

  /**
   * Returns a budget with full buckets.
   *
   * @param bytesPerSecond this instance's part of the capacity of each link, above 0
   * @throws IllegalArgumentException if it is not above 0
   */
  public static LinkBudget of(double bytesPerSecond) {
    return new LinkBudget(bytesPerSecond);
  }

  /** Changes this instance's part, for example when the number of instances has changed. */
  public synchronized void setBytesPerSecond(double changed, long nowNanos) {
    buckets.values().forEach(bucket -> bucket.refill(bytesPerSecond, nowNanos));
    bytesPerSecond = check(changed);
  }

  /** Counts a control message, which is sent in any case. */
  public synchronized void sendControl(String region, long bytes, long nowNanos) {
    bucket(region, nowNanos).bytes -= bytes;
  }

  /**
   * Takes the bytes of a request if its class may send now.
   *
   * @param region region at the other end of the link
   * @param bytes bytes in both directions, as far as they are known
   * @return whether the request may be sent
   */
  public synchronized boolean tryTake(
      String region, ServiceClass serviceClass, long bytes, long nowNanos) {
    Bucket bucket = bucket(region, nowNanos);
    double missing = missing(bucket, serviceClass, bytes);
    if (missing > 0) {
      return false;
    }
    bucket.bytes -= bytes;
    return true;
  }

  /** Returns the nanoseconds after which a request may be sent if nothing else is, 0 for now. */
  public synchronized long waitNanos(
      String region, ServiceClass serviceClass, long bytes, long nowNanos) {
    double missing = missing(bucket(region, nowNanos), serviceClass, bytes);
    return (long) Math.ceil(Math.max(0, missing) / bytesPerSecond * NANOS_PER_SECOND);
  }

  // -----------------------------------------------------------------------

  private double missing(Bucket bucket, ServiceClass serviceClass, long bytes) {
    double size = bytesPerSecond * BURST_SECONDS;
    // A request larger than the bucket is sent when the bucket is full, and overdraws it.
    double wanted = Math.min(bytes, size * (1 - BATCH_RESERVE));
    double kept = serviceClass == ServiceClass.LIVE ? 0 : size * BATCH_RESERVE;
    return kept + wanted - bucket.bytes;
  }

  private Bucket bucket(String region, long nowNanos) {
    Bucket bucket =
        buckets.computeIfAbsent(
            region, key -> new Bucket(bytesPerSecond * BURST_SECONDS, nowNanos));
    bucket.refill(bytesPerSecond, nowNanos);
    return bucket;
  }

  private static double check(double bytesPerSecond) {
    if (!(bytesPerSecond > 0)) {
      throw new IllegalArgumentException("bytes per second must be above 0: " + bytesPerSecond);
    }
    return bytesPerSecond;
  }

  /** Bytes that may be sent over one link. */
  private static final class Bucket {
    private double bytes;
    private long refilledAtNanos;

    Bucket(double bytes, long nowNanos) {
      this.bytes = bytes;
      this.refilledAtNanos = nowNanos;
    }

    void refill(double bytesPerSecond, long nowNanos) {
      long elapsed = Math.max(0, nowNanos - refilledAtNanos);
      double earned = elapsed / NANOS_PER_SECOND * bytesPerSecond;
      bytes = Math.min(bytesPerSecond * BURST_SECONDS, bytes + earned);
      refilledAtNanos = Math.max(refilledAtNanos, nowNanos);
    }
  }
}

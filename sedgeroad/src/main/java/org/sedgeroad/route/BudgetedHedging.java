package org.sedgeroad.route;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Histogram;

/**
 * Starts a second attempt when the first event takes longer than the 95th percentile of comparable
 * requests, for at most 5% of the requests. Thread-safe.
 */
final class BudgetedHedging implements HedgePolicy {
  /** Second attempts allowed for every 100 requests. */
  private static final int PERCENT = 5;

  /** Unused second attempts that can accumulate, so that a short slowdown can be covered. */
  private static final int MOST_KEPT = 10;

  private static final double PERCENTILE = 95;
  private static final int LEAST_SAMPLES = 40;

  /** Minimum delay; with a shorter one, scheduling delays alone would trigger second attempts. */
  private static final long LEAST_DELAY_NANOS = 10_000_000L;

  private static final long WINDOW_NANOS = 30_000_000_000L;

  /** Prompts below this number of tokens have about the same time to the first event. */
  private static final int SMALL_PROMPT_TOKENS = 64;

  /**
   * Class of requests with comparable times: prompts of one service whose sizes differ by less than
   * a factor of 2.
   */
  private record Size(String service, int magnitude) {
    static Size of(RequestShape request) {
      int tokens = Math.max(SMALL_PROMPT_TOKENS, request.promptTokens());
      return new Size(request.service(), Integer.numberOfLeadingZeros(tokens));
    }
  }

  private final Map<Size, Times> sizes = new ConcurrentHashMap<>();
  private int hundredths;

  @Override
  public OptionalLong delayNanos(RequestShape request, long nowNanos) {
    synchronized (this) {
      hundredths = Math.min(MOST_KEPT * 100, hundredths + PERCENT);
    }
    Times times = sizes.get(Size.of(request));
    if (times == null || !request.idempotent()) {
      return OptionalLong.empty();
    }
    long percentile = times.percentile();
    return percentile == 0
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(LEAST_DELAY_NANOS, percentile));
  }

  @Override
  public synchronized boolean tryHedge() {
    if (hundredths < 100) {
      return false;
    }
    hundredths -= 100;
    return true;
  }

  @Override
  public void observeFirstEvent(RequestShape request, long elapsedNanos, long nowNanos) {
    sizes
        .computeIfAbsent(Size.of(request), size -> new Times(nowNanos))
        .add(elapsedNanos, nowNanos);
  }

  /** Times to the first event in the previous and the current window. Thread-safe. */
  private static final class Times {
    private static final long HIGHEST_NANOS = 60_000_000_000L;
    private static final int RECOMPUTE_EACH = 16;

    private Histogram last = new Histogram(HIGHEST_NANOS, 2);
    private Histogram running = new Histogram(HIGHEST_NANOS, 2);
    private long windowEndNanos;
    private long added;
    private long percentile;

    Times(long now) {
      windowEndNanos = now + WINDOW_NANOS;
    }

    synchronized void add(long nanos, long now) {
      if (now - windowEndNanos >= 0) {
        Histogram oldest = last;
        last = running;
        running = oldest;
        running.reset();
        windowEndNanos = now + WINDOW_NANOS;
      }
      running.recordValue(Math.min(HIGHEST_NANOS, Math.max(1, nanos)));
      if (++added >= LEAST_SAMPLES && added % RECOMPUTE_EACH == 0) {
        Histogram both = last.copy();
        both.add(running);
        percentile = both.getValueAtPercentile(PERCENTILE);
      }
    }

    synchronized long percentile() {
      return percentile;
    }
  }
}

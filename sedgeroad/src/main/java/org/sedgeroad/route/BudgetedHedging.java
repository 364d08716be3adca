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
  private static final int BUDGET_PERCENT = 5;

  /** Unused second attempts that can accumulate, so that a short slowdown can be covered. */
  private static final int MAX_ACCUMULATED_ATTEMPTS = 10;

  private static final double PERCENTILE = 95;
  private static final int MIN_SAMPLES = 40;

  /** Minimum delay; with a shorter one, scheduling delays alone would trigger second attempts. */
  private static final long MIN_DELAY_NANOS = 10_000_000L;

  private static final long WINDOW_NANOS = 30_000_000_000L;

  /** Prompts below this number of tokens have about the same time to the first event. */
  private static final int SMALL_PROMPT_TOKENS = 64;

  /**
   * Class of requests with comparable times: prompts of one service whose sizes differ by less than
   * a factor of 2.
   */
  private record SizeClass(String service, int magnitude) {
    static SizeClass of(RequestShape request) {
      int tokens = Math.max(SMALL_PROMPT_TOKENS, request.promptTokens());
      return new SizeClass(request.service(), Integer.numberOfLeadingZeros(tokens));
    }
  }

  private final Map<SizeClass, FirstEventTimes> timesBySizeClass = new ConcurrentHashMap<>();
  private int budgetHundredths;

  @Override
  public OptionalLong delayNanos(RequestShape request, long nowNanos) {
    synchronized (this) {
      budgetHundredths =
          Math.min(MAX_ACCUMULATED_ATTEMPTS * 100, budgetHundredths + BUDGET_PERCENT);
    }
    FirstEventTimes times = timesBySizeClass.get(SizeClass.of(request));
    if (times == null || !request.idempotent()) {
      return OptionalLong.empty();
    }
    long percentile = times.percentile();
    return percentile == 0
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(MIN_DELAY_NANOS, percentile));
  }

  @Override
  public synchronized boolean tryHedge() {
    if (budgetHundredths < 100) {
      return false;
    }
    budgetHundredths -= 100;
    return true;
  }

  @Override
  public void observeFirstEvent(RequestShape request, long elapsedNanos, long nowNanos) {
    timesBySizeClass
        .computeIfAbsent(SizeClass.of(request), sizeClass -> new FirstEventTimes(nowNanos))
        .add(elapsedNanos, nowNanos);
  }

  /** Times to the first event, observed in the previous and the current window. Thread-safe. */
  private static final class FirstEventTimes {
    private static final long MAX_NANOS = 60_000_000_000L;
    private static final int RECOMPUTE_INTERVAL = 16;

    private Histogram previous = new Histogram(MAX_NANOS, 2);
    private Histogram current = new Histogram(MAX_NANOS, 2);
    private long windowEndNanos;
    private long added;
    private long percentile;

    FirstEventTimes(long now) {
      windowEndNanos = now + WINDOW_NANOS;
    }

    synchronized void add(long nanos, long now) {
      if (now - windowEndNanos >= 0) {
        Histogram oldest = previous;
        previous = current;
        current = oldest;
        current.reset();
        windowEndNanos = now + WINDOW_NANOS;
      }
      current.recordValue(Math.min(MAX_NANOS, Math.max(1, nanos)));
      if (++added >= MIN_SAMPLES && added % RECOMPUTE_INTERVAL == 0) {
        Histogram combined = previous.copy();
        combined.add(current);
        percentile = combined.getValueAtPercentile(PERCENTILE);
      }
    }

    synchronized long percentile() {
      return percentile;
    }
  }
}

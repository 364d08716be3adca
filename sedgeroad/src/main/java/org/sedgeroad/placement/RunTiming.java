package org.sedgeroad.placement;

import java.util.Objects;
import java.util.function.DoubleConsumer;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.route.EndpointSpeed;

/**
 * Observes the time to the first event and the gaps between events of one run at an endpoint. Used
 * on the event loop.
 */
public final class RunTiming {
  /** Lets first events count with their whole time: which tokens were cached is not known. */
  private static final int NO_PROMPT_TOKENS = 0;

  private final EndpointSpeed speed;
  private final RunTimeAverage average;
  private final double slowness;
  private final long sentNanos;
  private final MonotonicClock clock;
  private DoubleConsumer firstEventListener = millis -> {};
  private boolean begun;
  private long lastNanos;

  private RunTiming(
      EndpointSpeed speed, RunTimeAverage average, double slowness, MonotonicClock clock) {
    this.speed = Objects.requireNonNull(speed);
    this.average = Objects.requireNonNull(average);
    this.slowness = slowness;
    this.clock = Objects.requireNonNull(clock);
    this.sentNanos = clock.nanos();
    this.lastNanos = sentNanos;
  }

  /**
   * Returns the timing of a run that is sent now.
   *
   * @param speed receives the observations, not null
   * @param average receives the times of the run at median speed, not null
   * @param slowness time that the endpoint takes for a step, relative to the median
   * @param clock source of monotonic time, not null
   * @throws NullPointerException if an object is null
   */
  static RunTiming begin(
      EndpointSpeed speed, RunTimeAverage average, double slowness, MonotonicClock clock) {
    return new RunTiming(speed, average, slowness, clock);
  }

  /**
   * Sets the receiver of the time to the first event at median speed, in milliseconds; it is called
   * once, when the first event arrives.
   */
  void onFirstEvent(DoubleConsumer listener) {
    firstEventListener = Objects.requireNonNull(listener);
  }

  /**
   * Returns the monotonic time, in nanoseconds, that is some milliseconds after the last event, or
   * after the send if there was no event.
   */
  public long deadlineNanos(long millis) {
    return lastNanos + millis * 1_000_000L;
  }

  /**
   * Records that the answer of a live request is complete; an answer without events counts as one
   * event.
   */
  public void answered() {
    if (!begun) {
      received(1);
    }
    average.addRun((clock.nanos() - sentNanos) / 1e6 / slowness);
  }

  /**
   * Records that events were received now. Events that arrive together share the time since the
   * event before them.
   *
   * @param count number of complete events
   */
  public void received(int count) {
    if (count <= 0) {
      return;
    }
    long now = clock.nanos();
    long elapsed = now - lastNanos;
    lastNanos = now;
    if (!begun) {
      begun = true;
      speed.recordFirstEvent(NO_PROMPT_TOKENS, elapsed, now);
      average.addFirstEvent(elapsed / 1e6 / slowness);
      firstEventListener.accept(elapsed / 1e6 / slowness);
      return;
    }
    for (int index = 0; index < count; index++) {
      speed.recordGap(elapsed / count, now);
    }
  }
}

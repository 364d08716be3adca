package org.sedgeroad.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Tracks the endpoints that failed recently and are to be avoided for a while. Used on the event
 * loop.
 *
 * <p>An endpoint that can't be reached is avoided at once. A single broken answer is weak evidence,
 * since an endpoint may break a few answers out of many; two in a row without a complete one in
 * between indicate that it has failed. Each consecutive avoidance doubles the time up to a maximum;
 * a success ends the avoidance.
 */
public final class EndpointHealth {
  /** Length of a first avoidance, in milliseconds; a crashed endpoint needs seconds to return. */
  static final long FIRST_AVOIDANCE_MILLIS = 500;

  /** Longest avoidance, in milliseconds. */
  static final long LONGEST_AVOIDANCE_MILLIS = 4_000;

  /** Number of consecutive broken answers after which an endpoint is avoided. */
  static final int BROKEN_ANSWERS_IN_A_ROW = 2;

  private record State(int brokenAnswers, int avoidances, long avoidUntilNanos) {}

  private static final State HEALTHY = new State(0, 0, 0);

  private final Map<String, State> states = new HashMap<>();
  private Consumer<String> failureListener = endpoint -> {};

  /** Sets the receiver of the name of an endpoint at each recorded failure. */
  void setFailureListener(Consumer<String> listener) {
    failureListener = listener;
  }

  /** Records that an endpoint could not be reached at a monotonic time in nanoseconds. */
  public void recordUnreachable(String endpoint, long nowNanos) {
    avoid(endpoint, states.getOrDefault(endpoint, HEALTHY), nowNanos);
    failureListener.accept(endpoint);
  }

  /**
   * Records that a request that was sent to an endpoint got no complete answer, at a monotonic time
   * in nanoseconds.
   */
  public void recordBrokenAnswer(String endpoint, long nowNanos) {
    State state = states.getOrDefault(endpoint, HEALTHY);
    State next = new State(state.brokenAnswers() + 1, state.avoidances(), state.avoidUntilNanos());
    states.put(endpoint, next);
    if (next.brokenAnswers() >= BROKEN_ANSWERS_IN_A_ROW) {
      avoid(endpoint, next, nowNanos);
    }
    failureListener.accept(endpoint);
  }

  /** Records that an endpoint gave a complete answer, which clears its failures. */
  public void recordSuccess(String endpoint) {
    states.remove(endpoint);
  }

  /** Returns whether an endpoint should be avoided at a monotonic time in nanoseconds. */
  public boolean isSuspect(String endpoint, long nowNanos) {
    State state = states.getOrDefault(endpoint, HEALTHY);
    return state.avoidances() > 0 && nowNanos - state.avoidUntilNanos() < 0;
  }

  private void avoid(String endpoint, State state, long nowNanos) {
    if (isSuspect(endpoint, nowNanos)) {
      // The requests that fail together in one crash count once.
      return;
    }
    int doublings = Math.min(state.avoidances(), 10);
    long millis = Math.min(LONGEST_AVOIDANCE_MILLIS, FIRST_AVOIDANCE_MILLIS << doublings);
    states.put(
        endpoint,
        new State(state.brokenAnswers(), state.avoidances() + 1, nowNanos + millis * 1_000_000L));
  }
}

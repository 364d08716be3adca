package org.sedgeroad.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Endpoints that failed lately and are avoided for a while. Used on the event loop.
 *
 * <p>An endpoint that can't be reached is avoided at once. A broken answer alone says little, since
 * an endpoint may spoil a few of many; two in a row without a whole one between say that it is
 * gone. Each avoidance in a row doubles the time up to a bound; a success ends it.
 */
public final class EndpointHealth {
  /** Time of a first avoidance, in milliseconds; a crashed endpoint needs seconds to return. */
  static final long FIRST_AVOIDANCE_MILLIS = 500;

  /** Longest time between two tries, in milliseconds. */
  static final long LONGEST_AVOIDANCE_MILLIS = 4_000;

  /** Broken answers in a row after which an endpoint is avoided. */
  static final int BREAKS_IN_A_ROW = 2;

  private record State(int breaks, int avoidances, long avoidUntilNanos) {}

  private static final State SOUND = new State(0, 0, 0);

  private final Map<String, State> states = new HashMap<>();

  /** Notes that an endpoint could not be reached at a monotonic time in nanoseconds. */
  public void unreachable(String endpoint, long nowNanos) {
    avoid(endpoint, states.getOrDefault(endpoint, SOUND), nowNanos);
  }

  /** Notes that an answer of an endpoint broke at a monotonic time in nanoseconds. */
  public void broken(String endpoint, long nowNanos) {
    State state = states.getOrDefault(endpoint, SOUND);
    State next = new State(state.breaks() + 1, state.avoidances(), state.avoidUntilNanos());
    states.put(endpoint, next);
    if (next.breaks() >= BREAKS_IN_A_ROW) {
      avoid(endpoint, next, nowNanos);
    }
  }

  /** Notes that an endpoint gave a whole answer. */
  public void succeeded(String endpoint) {
    states.remove(endpoint);
  }

  /** Returns whether an endpoint should be avoided at a monotonic time in nanoseconds. */
  public boolean isSuspect(String endpoint, long nowNanos) {
    State state = states.getOrDefault(endpoint, SOUND);
    return state.avoidances() > 0 && nowNanos - state.avoidUntilNanos() < 0;
  }

  private void avoid(String endpoint, State state, long nowNanos) {
    if (isSuspect(endpoint, nowNanos)) {
      // The requests of one crash fail together and count once.
      return;
    }
    int doublings = Math.min(state.avoidances(), 10);
    long millis = Math.min(LONGEST_AVOIDANCE_MILLIS, FIRST_AVOIDANCE_MILLIS << doublings);
    states.put(
        endpoint,
        new State(state.breaks(), state.avoidances() + 1, nowNanos + millis * 1_000_000L));
  }
}

package org.sedgeroad.route;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.Map;

/**
 * Leaves room for live work: the slots minus the live requests in flight, minus one slot at every
 * second endpoint. Used by one thread.
 *
 * <p>Live requests go to endpoints with a free slot first, and batch gives way within milliseconds,
 * so that the endpoints of a failure domain share the free slots; one at each endpoint would take
 * an eighth of the capacity.
 */
final class HeadroomPolicy implements BatchPolicy {
  /** The states of endpoints that were not asked about for this time are dropped. */
  private static final long KEPT_NANOS = 60_000_000_000L;

  private final Map<String, Headroom> endpoints = new HashMap<>();
  private long nextCleaningNanos;
  private boolean used;

  @Override
  public int allowedItems(EndpointView view, long nowNanos) {
    if (!used || nowNanos - nextCleaningNanos >= 0) {
      used = true;
      nextCleaningNanos = nowNanos + KEPT_NANOS;
      endpoints.values().removeIf(headroom -> headroom.isUnusedSince(nowNanos - KEPT_NANOS));
    }
    return endpoints
        .computeIfAbsent(view.endpoint().name(), name -> new Headroom(nowNanos))
        .allow(view.slots(), freeSlots(view), view.live(), view.batch(), nowNanos);
  }

  private static int freeSlots(EndpointView view) {
    long hash = Hashing.komihash5_0().hashCharsToLong(view.endpoint().name());
    return (hash & 1) == 0 ? 1 : 0;
  }
}

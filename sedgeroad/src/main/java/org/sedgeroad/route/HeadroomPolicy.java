package org.sedgeroad.route;

import java.util.HashMap;
import java.util.Map;

/**
 * Leaves room for live work: the slots minus a reserve minus the live requests in flight. Used by
 * one thread.
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
        .allow(view.slots(), view.live(), view.batch(), nowNanos);
  }
}

package org.sedgeroad.route;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.Map;

/**
 * Leaves capacity for live requests: allows batch items up to the number of slots minus the live
 * requests in flight, minus one slot at about every second endpoint. Not thread-safe.
 *
 * <p>One free slot at every second endpoint is enough, because live requests go to endpoints with a
 * free slot first and batch items are preempted within milliseconds: all endpoints of a failure
 * domain share the free slots. One free slot at each endpoint would cost an eighth of the capacity,
 * with the default of 8 slots for each endpoint.
 */
final class HeadroomPolicy implements BatchPolicy {
  /**
   * Time after which the state of an endpoint is removed if its number of allowed items was not
   * requested.
   */
  private static final long RETENTION_NANOS = 60_000_000_000L;

  private final Map<String, Headroom> headroomByEndpoint = new HashMap<>();
  private long nextCleanupNanos;
  private boolean cleanupTimeSet;

  @Override
  public int allowedItems(EndpointView view, long nowNanos) {
    if (!cleanupTimeSet || nowNanos - nextCleanupNanos >= 0) {
      cleanupTimeSet = true;
      nextCleanupNanos = nowNanos + RETENTION_NANOS;
      headroomByEndpoint
          .values()
          .removeIf(headroom -> headroom.isUnusedSince(nowNanos - RETENTION_NANOS));
    }
    return headroomByEndpoint
        .computeIfAbsent(view.endpoint().name(), name -> new Headroom(nowNanos))
        .allowedItems(view.slots(), reservedSlots(view), view.live(), view.batch(), nowNanos);
  }

  private static int reservedSlots(EndpointView view) {
    long hash = Hashing.komihash5_0().hashCharsToLong(view.endpoint().name());
    return (hash & 1) == 0 ? 1 : 0;
  }
}

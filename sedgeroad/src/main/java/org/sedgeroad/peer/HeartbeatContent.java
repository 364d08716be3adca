package org.sedgeroad.peer;

import java.util.Map;
import java.util.function.Function;

/**
 * The content that components other than membership add to the heartbeats of one round.
 *
 * @param versions version up to which each configuration kind is held completely
 * @param liveCounts returns the live requests in flight by endpoint, for the peer of the given
 *     name. It should return only endpoints that this peer owns, since each entry costs about 20 B
 *     in a heartbeat.
 * @param storeUnreachable whether this instance should watch the store and can't
 */
public record HeartbeatContent(
    Map<String, Long> versions,
    Function<String, Map<String, Integer>> liveCounts,
    boolean storeUnreachable) {

  /** Content of an instance that holds no configuration and has no requests in flight. */
  public static final HeartbeatContent EMPTY =
      new HeartbeatContent(Map.of(), target -> Map.of(), false);

  /** Returns a copy with other live counts. */
  public HeartbeatContent withLiveCounts(Function<String, Map<String, Integer>> replacement) {
    return new HeartbeatContent(versions, replacement, storeUnreachable);
  }
}

package org.sedgeroad.peer;

import java.util.Map;
import java.util.function.Function;

/**
 * What other parts add to the heartbeats of one round.
 *
 * @param versions version up to which each configuration kind is held completely
 * @param liveCounts live requests in flight by endpoint, for the peer with the given name; keep it
 *     to the endpoints whose home that peer is, since each entry costs some 20 B a heartbeat
 * @param cutOff whether the store can't be watched
 */
public record HeartbeatContent(
    Map<String, Long> versions, Function<String, Map<String, Integer>> liveCounts, boolean cutOff) {

  /** Content of an instance without configuration and requests. */
  public static final HeartbeatContent EMPTY =
      new HeartbeatContent(Map.of(), target -> Map.of(), false);

  /** Returns a copy with other live counts. */
  public HeartbeatContent withLiveCounts(Function<String, Map<String, Integer>> replacement) {
    return new HeartbeatContent(versions, replacement, cutOff);
  }
}

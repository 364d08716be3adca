package org.sedgeroad.peer;

import java.util.List;
import java.util.Map;

/**
 * Shows that the sender is live and what it holds of the state of its failure domain.
 *
 * @param sender name of the sender
 * @param members complete state of the sender, of instances that changed recently, and of one more
 *     at random
 * @param progress low 16 bits of the sequence of other instances by {@link MemberInfo#key()}; 6
 *     bytes per instance instead of about 45 for a complete state. Empty in answers and in
 *     heartbeats to other domains.
 * @param versions version up to which the sender holds each configuration kind completely
 * @param liveCounts live requests that the sender has in flight, by endpoint
 * @param storeUnreachable whether the sender can't watch the store, so that changes should be
 *     pushed to it
 */
public record Heartbeat(
    String sender,
    List<MemberInfo> members,
    Map<Integer, Integer> progress,
    Map<String, Long> versions,
    Map<String, Integer> liveCounts,
    boolean storeUnreachable)
    implements PeerMessage {

  /** Copies the collections. */
  public Heartbeat {
    members = List.copyOf(members);
    progress = Map.copyOf(progress);
    versions = Map.copyOf(versions);
    liveCounts = Map.copyOf(liveCounts);
  }
}

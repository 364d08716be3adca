package org.sedgeroad.peer;

import java.util.List;
import java.util.Map;

/**
 * Shows that the sender is live, and reports its configuration versions and its view of the other
 * instances.
 *
 * @param sender name of the sender
 * @param members complete state of the sender, of instances that changed recently, and of one more
 *     at random; in an answer, of the sender and of the instances that the receiver lacks; to
 *     another domain, of the sender and of the bridges of its domain
 * @param progress low 16 bits of the sequence of other instances by {@link MemberInfo#key()}; 6
 *     bytes per instance instead of about 45 for a complete state. Empty in answers and in
 *     heartbeats to other domains.
 * @param versions version up to which the sender holds each configuration kind completely
 * @param liveCounts live requests that the sender has in flight, by endpoint, for the endpoints
 *     that the receiver owns. Empty in answers and in heartbeats to other domains.
 * @param storeUnreachable whether the sender should watch the store and can't, so that changes
 *     should be pushed to it
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

package org.sedgeroad.peer;

import java.util.List;
import java.util.Map;

/**
 * Sign of life with what the sender knows of its failure domain.
 *
 * @param sender name of the sender
 * @param members the sender, instances that changed lately, and one more at random
 * @param progress low 16 bits of the sequence of other live instances, by {@link
 *     MemberSighting#key()}; 6 bytes an instance against about 45 of a whole sighting
 * @param versions version up to which the sender holds each configuration kind completely
 * @param liveCounts live requests that the sender has in flight, by endpoint
 * @param cutOff whether the sender can't watch the store, so that changes should be pushed to it
 */
public record Heartbeat(
    String sender,
    List<MemberSighting> members,
    Map<Integer, Integer> progress,
    Map<String, Long> versions,
    Map<String, Integer> liveCounts,
    boolean cutOff)
    implements PeerMessage {

  /** Copies the collections. */
  public Heartbeat {
    members = List.copyOf(members);
    progress = Map.copyOf(progress);
    versions = Map.copyOf(versions);
    liveCounts = Map.copyOf(liveCounts);
  }
}

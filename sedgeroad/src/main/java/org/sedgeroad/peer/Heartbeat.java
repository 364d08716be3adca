package org.sedgeroad.peer;

import java.util.List;
import java.util.Map;

/**
 * Sign of life with what the sender knows of its failure domain.
 *
 * @param sender name of the sender
 * @param members what the sender knows of each instance of its domain, itself included
 * @param versions highest applied version of each configuration kind
 * @param liveCounts live requests that the sender has in flight, by endpoint
 */
public record Heartbeat(
    String sender,
    List<MemberSighting> members,
    Map<String, Long> versions,
    Map<String, Integer> liveCounts)
    implements PeerMessage {

  /** Copies the collections. */
  public Heartbeat {
    members = List.copyOf(members);
    versions = Map.copyOf(versions);
    liveCounts = Map.copyOf(liveCounts);
  }
}

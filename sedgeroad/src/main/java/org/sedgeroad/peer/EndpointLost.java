package org.sedgeroad.peer;

import java.util.List;

/**
 * Tells which requests the sender had in flight at an endpoint that died.
 *
 * @param sender name of the sender
 * @param endpoint name of the endpoint
 * @param address base address of the endpoint
 * @param fingerprints fingerprints of the requests, at most 256
 */
public record EndpointLost(
    String sender, String endpoint, String address, List<String> fingerprints)
    implements PeerMessage {
  private static final int MOST_FINGERPRINTS = 256;

  /** Copies the list. */
  public EndpointLost {
    fingerprints = fingerprints.stream().limit(MOST_FINGERPRINTS).toList();
  }
}

package org.sedgeroad.peer;

import java.util.List;

/**
 * Reports which requests the sender had in flight at an endpoint that failed.
 *
 * @param sender name of the sender
 * @param endpoint name of the endpoint
 * @param address base address of the endpoint
 * @param fingerprints fingerprints of the requests, at most 256; further ones are cut off
 */
public record EndpointLost(
    String sender, String endpoint, String address, List<String> fingerprints)
    implements PeerMessage {
  private static final int MAX_FINGERPRINTS = 256;

  /** Copies at most the first 256 fingerprints. */
  public EndpointLost {
    fingerprints = fingerprints.stream().limit(MAX_FINGERPRINTS).toList();
  }
}

package org.sedgeroad.peer;

/**
 * Tells that an endpoint should be taken out of use at once.
 *
 * @param endpoint name of the endpoint
 * @param address base address of the endpoint, so that a replacement with its name is not affected
 * @param cause why
 */
public record EndpointNews(String endpoint, String address, Cause cause) implements PeerMessage {

  /** Why an endpoint is out of use. */
  public enum Cause {
    /** It said that it is leaving. */
    DRAINING,
    /** It broke its connections. */
    FAILED
  }
}

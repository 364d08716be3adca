package org.sedgeroad.peer;

/**
 * Reports an endpoint that is draining or has failed.
 *
 * @param endpoint name of the endpoint
 * @param address base address of the endpoint, so that a replacement with the same name is not
 *     affected
 * @param cause why the endpoint is reported
 */
public record EndpointNews(String endpoint, String address, Cause cause) implements PeerMessage {

  /** Why an endpoint is reported. */
  public enum Cause {
    /** The endpoint announced that it is draining. */
    DRAINING,
    /** A connection of the sender to the endpoint failed. */
    FAILED
  }
}
